import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as runtime from '../src/index.js';

const { describe, it } = test;

describe('a log line', () => {
  it('contains no line break for any value', () => {
    fc.assert(
      fc.property(fc.string({ unit: 'binary' }), (value) => {
        const line = runtime.formatLogLine(0, 'info', 'event', { value });
        assert.ok(!/[\n\r\u0085\u2028\u2029]/.test(line));
        assert.ok(line.startsWith('time=1970-01-01T00:00:00.000Z level=info event=event value='));
      }),
      { seed: 20261204 },
    );
  });

  it('quotes a value that looks like another field', () => {
    const line = runtime.formatLogLine(0, 'info', 'call', { path: '/a level=error' });
    assert.match(line, /path="\/a level=error"$/);
  });

  it('omits undefined fields', () => {
    assert.match(runtime.formatLogLine(0, 'warn', 'e', { a: undefined, b: 1 }), /event=e b=1$/);
  });
});

describe('a logger', () => {
  it('writes lines of its level and above in one batch', () => {
    const written: string[] = [];
    const log = runtime.createLogger({
      level: 'warn',
      commonFields: { node: 'n1' },
      now: () => 0,
      write: (text) => written.push(text),
    });
    log.info('quiet');
    log.warn('loud');
    log.error('louder');
    log.flush();
    assert.equal(written.length, 1);
    assert.match(written[0] ?? '', /event=loud node=n1\n.*event=louder node=n1\n$/);
  });
});
