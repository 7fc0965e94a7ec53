import type * as http from 'node:http';
import * as writableHeads from '../writable-heads.js';
import * as constants from './constants.js';
import type * as types from './types.js';

/** What the head of a response of the target says. */
export type TargetResponse =
  /** It cannot be the response to this attempt, so the connection must not be used again. */
  | { type: 'invalid'; cause: string }
  /** Another instance has responded; it has not run the attempt. */
  | { type: 'misdirected' }
  /** The target has not run the attempt. */
  | { type: 'not-executed'; notice: types.TargetNotice }
  | { type: 'response'; notice: types.TargetNotice };

/**
 * Classifies a response to the attempt `callId`. A response to another call, a refusal included, does
 * not count as the response to this one.
 *
 * @example
 * classifyTargetResponse(message, 'c1', protocol).type; // 'response'
 */
export function classifyTargetResponse(
  message: Pick<http.IncomingMessage, 'statusCode' | 'headers' | 'rawHeaders'>,
  callId: string,
  protocol: types.CallProtocol,
): TargetResponse {
  const { headers, statusCode = 0 } = message;
  if (statusCode < constants.HTTP.ok) return { type: 'invalid', cause: 'invalid-status' };
  const finding = writableHeads.findUnwritableResponse(message);
  if (finding !== undefined) return { type: 'invalid', cause: finding };
  if (headers[protocol.callIdHeader] !== callId)
    return { type: 'invalid', cause: 'answer-of-another-call' };
  if (statusCode === constants.HTTP.misdirected) return { type: 'misdirected' };
  const notice = protocol.readTargetNotice(headers);
  if (headers[protocol.notExecutedHeader] !== undefined) return { type: 'not-executed', notice };
  if (headers[protocol.signatureHeader] === undefined)
    return { type: 'invalid', cause: 'answer-without-signature' };
  return { type: 'response', notice };
}
