import type { ServerResponse } from 'node:http';
import type { ChatChunk } from '../adapters/EngineClient.js';
import type { IAnswer, IRefusal, IRequestEntry } from '../common/blackboard/Types.js';
import { encodeCompletion, encodeRefusal, encodeUsage, REFUSAL_STATUS } from './ResponseEncoding.js';

/** Writes the response to one request: the chunks of a stream, and at the end the answer or a refusal. */
export class ResponseWriter {
  private _hasSentHeaders = false;
  private _heldChunk: ChatChunk | undefined;

  constructor(
    private readonly _response: ServerResponse,
    private readonly _requestId: string,
    private readonly _createdAt: number,
  ) {}

  /**
   * Writes a chunk of a streamed chat completion. Some engines send usage with every chunk, but callers get
   * it only with the last one. A chunk with usage is therefore held back until the next chunk or the end
   * arrives.
   */
  public writeChunk(chunk: ChatChunk): void {
    this._startStream();
    if (this._heldChunk && this._heldChunk.choices.length > 0)
      this._sendChunk({ ...this._heldChunk, usage: null });
    this._heldChunk = chunk.usage ? chunk : undefined;
    if (!chunk.usage) this._sendChunk(chunk);
  }

  /** Completes the response with the answer; a stream gets its last chunk and the end marker. */
  public endWithAnswer(request: IRequestEntry, answer: IAnswer): void {
    if (answer.kind === 'plain') {
      this._sendBody(
        answer.status,
        answer.contentType ?? 'application/octet-stream',
        Buffer.from(answer.body),
      );
    } else if (answer.kind === 'stored') {
      this._response.setHeader('x-mulberryweir-repeat', 'true');
      this._sendBody(answer.status, answer.contentType, Buffer.from(answer.body, 'base64'));
    } else if (request.target.kind === 'model' && request.target.isStreaming) this._endStream(answer);
    else {
      this._response.setHeader('x-mulberryweir-version', answer.version);
      this._sendJson(200, encodeCompletion(request, answer, this._createdAt));
    }
  }

  /**
   * Completes the response with a refusal. If a stream has already begun, the refusal is sent as an event.
   */
  public endWithRefusal(refusal: IRefusal): void {
    const body = encodeRefusal(refusal);
    if (this._hasSentHeaders) {
      this._writeEvent(body);
      this._response.end();
      return;
    }
    if (refusal.retryAfterMs !== undefined) {
      this._response.setHeader('retry-after', Math.ceil(refusal.retryAfterMs / 1000));
    }
    this._response.setHeader('x-mulberryweir-ran', refusal.ran);
    this._sendJson(REFUSAL_STATUS[refusal.code], body);
  }

  private _endStream(answer: Extract<IAnswer, { kind: 'model' }>): void {
    this._startStream();
    const lastChunk = this._heldChunk;
    const usage = encodeUsage(answer.usage);
    this._writeEvent({
      ...lastChunk,
      id: this._requestId,
      object: 'chat.completion.chunk',
      created: this._createdAt,
      model: answer.version,
      choices: lastChunk?.choices ?? [],
      usage,
    });
    this._response.end('data: [DONE]\n\n');
  }

  private _startStream(): void {
    if (this._hasSentHeaders) return;
    this._hasSentHeaders = true;
    this._response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': this._requestId,
    });
  }

  private _sendChunk(chunk: ChatChunk): void {
    this._writeEvent({ ...chunk, id: this._requestId, created: this._createdAt });
  }

  private _writeEvent(event: unknown): void {
    this._response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  private _sendJson(status: number, body: unknown): void {
    this._sendBody(status, 'application/json', Buffer.from(JSON.stringify(body)));
  }

  private _sendBody(status: number, contentType: string, body: Buffer): void {
    this._hasSentHeaders = true;
    this._response.writeHead(status, {
      'content-type': contentType,
      'content-length': body.length,
      'x-request-id': this._requestId,
    });
    this._response.end(body);
  }
}
