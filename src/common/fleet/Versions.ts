/** Parts of the name of a version. */
export interface IVersionParts {
  service: string;
  /** `undefined` for services without models. */
  model: string | undefined;
  release: string;
}

/**
 * Formats the name of a version: a model of a service at a release of its endpoints.
 * @example
 * formatVersion({ service: 'drafts', model: 'small', release: 'v1' }); // 'drafts/small@v1'
 */
export function formatVersion({ model, release, service }: IVersionParts): string {
  return model === undefined ? `${service}@${release}` : `${service}/${model}@${release}`;
}

/**
 * Parses the name of a version; `undefined` if malformed. A service contains no '/' or '@', a model no '@'.
 */
export function parseVersion(version: string): IVersionParts | undefined {
  const match = /^([^/@]*)(?:\/([^@]*))?@(.*)$/.exec(version);
  if (!match) return undefined;
  const [, service = '', model, release = ''] = match;
  return { service, model, release };
}
