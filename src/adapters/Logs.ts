import winston from 'winston';

/** Log levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Writes one log line with fields. Callers never pass the keys or bodies of requests. */
export type WriteLog = (level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Creates a log that writes JSON lines to standard error, each with the id of the host. */
export function createLog(host: string, level: LogLevel = 'info'): WriteLog {
  const logger = winston.createLogger({
    level,
    defaultMeta: { host },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    // winston's transport classes and the base class that this option expects are declared in two packages,
    // so the rule does not see that one extends the other.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new winston.transports.Stream({ stream: process.stderr })],
  });
  return (lineLevel, message, fields = {}) => {
    logger.log({ level: lineLevel, message, ...fields });
  };
}
