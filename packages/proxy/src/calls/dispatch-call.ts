/** What every HTTP call of a proxy has in common: its control, and one end only. */
import type * as undici from 'undici';
import type * as types from './types.js';

/** Takes the body and the end of an answer. */
export interface BodyHandler {
  onData(chunk: Buffer): void;
  onEnd(): void;
}

/** A call under way; its kinds differ in how they read the head and the errors. */
export abstract class DispatchCall implements undici.Dispatcher.DispatchHandler, types.Attempt {
  protected isOver = false;

  private controller: undici.Dispatcher.DispatchController | undefined;

  private isCancelled = false;

  private readonly body: BodyHandler;

  protected constructor(body: BodyHandler) {
    this.body = body;
  }

  public abstract onResponseStart(
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

  public onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isOver) this.body.onData(chunk);
  }

  public onResponseEnd(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.body.onEnd();
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
