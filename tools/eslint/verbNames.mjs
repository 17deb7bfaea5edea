import { readFileSync } from 'node:fs';

const verbList = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8');
const allowedVerbs = new Set([...verbList.matchAll(/^- ([a-z]+)$/gm)].map((match) => match[1]));
/** Event handlers (`onClose`) and constructors need no verb. */
const EXEMPT_NAMES = /^(on[A-Z]|constructor$)/;

const FUNCTION_TYPES = new Set(['FunctionExpression', 'ArrowFunctionExpression']);

/** Returns the first camel-case word of a name, without a leading underscore. */
function readFirstWord(name) {
  return /^_?([a-z]+)/.exec(name)?.[1] ?? '';
}

/** Requires that function names begin with a verb that docs/verbs.md lists. */
export const verbNames = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' must begin with a verb from docs/verbs.md." },
  },
  create(context) {
    function checkName(identifier) {
      if (identifier?.type !== 'Identifier' && identifier?.type !== 'PrivateIdentifier') return;
      const name = identifier.name;
      if (EXEMPT_NAMES.test(name) || allowedVerbs.has(readFirstWord(name))) return;
      context.report({ node: identifier, messageId: 'verb', data: { name } });
    }
    return {
      FunctionDeclaration: (node) => checkName(node.id),
      MethodDefinition: (node) => {
        if (node.kind === 'method') checkName(node.key);
      },
      VariableDeclarator: (node) => {
        if (FUNCTION_TYPES.has(node.init?.type)) checkName(node.id);
      },
    };
  },
};
