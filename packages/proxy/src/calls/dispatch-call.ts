import type * as undici from 'undici';
import type * as types from './types.js';

export interface BodyHandler {
  onData(chunk: Buffer): void;
  onEnd(): void;
}

const HTTP_FIRST_FINAL = 200;
/** Informational responses (1xx) before a final one; servers send one or two. */
const MAX_INFORMATIONAL_RESPONSES = 16;
/** Bytes of a body that are read only to reuse the connection. */
const MAX_DISCARDED_BYTES = 65_536;

/**
 * A call in flight over undici that can be paused, resumed and cancelled, and that ends once.
 * Subclasses handle the response head and errors.
 */
export abstract class DispatchCall implements undici.Dispatcher.DispatchHandler, types.Attempt {
  protected isFinished = false;

  private controller: undici.Dispatcher.DispatchController | undefined;

  private isCancelled = false;

  private informationalCount = 0;

  private discardedBytes = 0;

  private readonly bodyHandler: BodyHandler;

  protected constructor(bodyHandler: BodyHandler) {
    this.bodyHandler = bodyHandler;
  }

  /** Handles the head of the final response. */
  protected abstract handleHead(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: types.Headers,
  ): void;

  public abstract onResponseError(
    controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void;

  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isCancelled) controller.abort(new Error('cancelled'));
  }

  public onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    received: types.Headers,
  ): void {
    if (status >= HTTP_FIRST_FINAL) {
      this.handleHead(controller, status, received);
      return;
    }
    this.informationalCount += 1;
    if (this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      controller.abort(new Error('too many informational responses'));
    }
  }

  public onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isFinished) {
      this.bodyHandler.onData(chunk);
      return;
    }
    this.discardedBytes += chunk.byteLength;
    if (this.discardedBytes > MAX_DISCARDED_BYTES) {
      controller.abort(new Error('the discarded body is too long'));
    }
  }

  public onResponseEnd(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.bodyHandler.onEnd();
  }

  public cancel(): void {
    this.isCancelled = true;
    this.controller?.abort(new Error('cancelled'));
  }

  public pause(): void {
    this.controller?.pause();
  }

  public resume(): void {
    this.controller?.resume();
  }
}
