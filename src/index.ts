/**
 * Public interface of the router as a library. `coordination.ts` exports the coordination library alone.
 *
 * ```ts
 * const settings = parseSettings(readFileSync('host.ini', 'utf8'));
 * if (settings.isErr) throw new Error(settings.error);
 * const host = new EntryHost({ settings: settings.value, log, writeEvent });
 * const port = await host.start();
 * ```
 */
export { parseDocumentText } from './adapters/ConfigStore.js';
export { createLog, type LogLevel, type WriteLog } from './adapters/Logs.js';
export { Blackboard, type IBlackboardOptions } from './common/blackboard/Blackboard.js';
export { Panel, type IPanelChange } from './common/blackboard/Panel.js';
export type * from './common/blackboard/Types.js';
export { applyEdit, type ConfigEditError, type IAcceptedEdit } from './common/config/ConfigEditor.js';
export type * from './common/config/Types.js';
export { decideAdmission } from './common/policy/Admission.js';
export {
  createChooseExpectedDelay,
  createChooseLeastInFlight,
  createChooseLeastReported,
  createChooseRoundRobin,
} from './common/policy/Endpoints.js';
export { createChooseByLearnedQuality } from './common/policy/Plans.js';
export { createDecideRetry } from './common/policy/Retries.js';
export { chooseCheapest, chooseCheapestExpected, chooseHighestQuality } from './common/policy/Versions.js';
export type * from './common/request/Types.js';
export { TimelineRecorder } from './common/timeline/TimelineRecorder.js';
export type { ITimelineEvent } from './common/timeline/Types.js';
export { EntryHost, type IEntryHostOptions } from './daemons/EntryHost.js';
export { parseSettings, type HostSettings } from './daemons/Settings.js';
