import winston from 'winston';

/** Log levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes one log line with fields. Keys and bodies of requests are never passed in. */
export type WriteLog = (level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Creates a log that writes JSON lines to standard error. */
export function createLog(host: string, level: LogLevel = 'info'): WriteLog {
  const logger = winston.createLogger({
    level,
    defaultMeta: { host },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    // winston declares its transports and the base class of the option in two packages.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new winston.transports.Stream({ stream: process.stderr })],
  });
  return (lineLevel, message, fields = {}) => {
    logger.log({ level: lineLevel, message, ...fields });
  };
}
