import type { ChooseSpill } from '../request/Types.js';
import { listAllowedVersions } from './Admission.js';

/**
 * Chooses the cheapest other stable version with room that meets the quality target. Only a request for
 * `auto` without a session and without a run so far may move.
 */
export const chooseSpillByTarget: ChooseSpill = ({ hasRoom, request, service }) => {
  const { target } = request;
  const isFree = target.kind === 'model' && target.model === 'auto' && request.session === undefined;
  if (!isFree || request.ran !== 'no' || request.escalatedFrom.length > 0) return undefined;
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
