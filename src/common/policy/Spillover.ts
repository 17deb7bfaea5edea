import type { ChooseSpilloverVersion } from '../request/Types.js';
import { listAllowedVersions } from './Admission.js';

/**
 * Chooses another version for a request whose version has no capacity: the cheapest stable one that is
 * expected to meet the quality target and has an endpoint with room. Only a request for the model `auto` may
 * change its version, and only if it has no session, certainly has not run, and was not escalated.
 */
export const chooseSpilloverByTarget: ChooseSpilloverVersion = ({ hasRoom, request, service }) => {
  const { target } = request;
  const mayChangeVersion =
    target.kind === 'model' && target.model === 'auto' && request.session === undefined;
  if (!mayChangeVersion || request.ran !== 'no' || request.escalatedFrom.length > 0) return undefined;
  const { document } = service;
  const account = document.accounts[request.account];
  if (!account) return undefined;
  const [cheapest] = listAllowedVersions(document, account, target.model)
    .filter(({ expectedQuality, name, stage }) => {
      if (name === request.version || stage !== 'stable') return false;
      return expectedQuality >= document.qualityTarget && hasRoom(name);
    })
    .sort((first, second) => first.pricePerThousandTokens - second.pricePerThousandTokens);
  return cheapest?.name;
};
