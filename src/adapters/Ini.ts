import { parse } from 'ini';
import type { FindLine, IniSections } from '../common/config/ServiceDocument.js';

/** Sections of a parsed INI text, with a function that finds the line of a key in it. */
export interface IParsedIni {
  sections: IniSections;
  findLine: FindLine;
}

/** Parses INI text. All values are returned as strings; the validation of the sections converts them. */
export function parseIni(text: string): IParsedIni {
  const sections: Record<string, Record<string, string>> = {};
  for (const [title, value] of Object.entries(parse(text))) {
    if (isSection(value)) sections[title] = convertToStrings(value);
    else sections[''] = { ...sections[''], [title]: String(value) };
  }
  return { sections, findLine: createLineFinder(text) };
}

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function convertToStrings(section: Record<string, unknown>): Record<string, string> {
  return Object.fromEntries(Object.entries(section).map(([key, value]) => [key, String(value)]));
}

function createLineFinder(text: string): FindLine {
  const lines = text.split('\n').map((line) => line.trim());
  return (section, key) => {
    const start = section === '' ? 0 : lines.indexOf(`[${section}]`);
    if (start < 0) return undefined;
    if (key === undefined) return start + 1;
    const end = lines.findIndex((line, index) => index > start && line.startsWith('['));
    const body = lines.slice(start, end < 0 ? undefined : end);
    const offset = body.findIndex((line) => line.split('=')[0]?.trim() === key);
    return offset < 0 ? start + 1 : start + offset + 1;
  };
}
