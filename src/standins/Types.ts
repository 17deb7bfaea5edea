/** A running stand-in: a small fake of an outside system, for tests and measurements. */
export interface IStandIn {
  /** Base address, `http://ip:port`. */
  address: string;
  close: () => Promise<void>;
}
