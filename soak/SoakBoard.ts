import { Panel } from '../src/common/blackboard/Panel.js';
import type { Millis } from '../src/common/Types.js';
import type {
  ICallEntry,
  IConfigurationEntry,
  ICrashingPartEntry,
  IFaultEntry,
  IFindingEntry,
  IRateLimitEntry,
  IRouterEntry,
  IRunEntry,
  IRunnerEntry,
} from './Types.js';

/**
 * State of one soak. Injectors, callers, runners and the supervisor of the routers write what they do and
 * observe, and checks read it.
 */
export class SoakBoard {
  public readonly faults = createPanel<number, IFaultEntry>();
  public readonly routers = createPanel<string, IRouterEntry>();
  public readonly runners = createPanel<string, IRunnerEntry>();
  public readonly configurations = createPanel<number, IConfigurationEntry>();
  public readonly calls = createPanel<string, ICallEntry>();
  public readonly runs = createPanel<number, IRunEntry>();
  /** By part. */
  public readonly crashingParts = createPanel<string, ICrashingPartEntry>();
  /** By runner. */
  public readonly rateLimits = createPanel<string, IRateLimitEntry>();
  public readonly findings = createPanel<number, IFindingEntry>();
  private readonly _runsByCall = new Map<string, number[]>();

  constructor(public readonly now: () => Millis) {
    this.runs.onChange(({ before, after }) => {
      if (before || !after) return;
      const runNumbers = this._runsByCall.get(after.call);
      if (runNumbers) runNumbers.push(after.number);
      else this._runsByCall.set(after.call, [after.number]);
    });
  }

  /**
   * Lists the runs of a call in the order in which they reached runners, including those that were refused.
   */
  public listRuns(call: string): Readonly<IRunEntry>[] {
    return (this._runsByCall.get(call) ?? []).flatMap((number) => this.runs.get(number) ?? []);
  }

  /** Records a violation of a promise. */
  public addFinding(promise: IFindingEntry['promise'], detail: string): void {
    this.findings.set(this.findings.size, { promise, at: Math.round(this.now()), detail });
  }
}

function createPanel<K, V extends object>(): Panel<K, V> {
  return new Panel<K, V>((notify) => {
    notify();
  });
}
