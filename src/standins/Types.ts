/** A running stand-in. */
export interface IStandIn {
  /** Base address, `http://ip:port`. */
  address: string;
  close: () => Promise<void>;
}
