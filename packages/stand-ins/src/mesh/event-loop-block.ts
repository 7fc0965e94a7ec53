/** Preloaded into a proxy: blocks its event loop for BLOCK_MS when it receives SIGUSR2. */
const blockMs = Number(process.env.BLOCK_MS);

process.on('SIGUSR2', () => {
  const endAt = performance.now() + blockMs;
  while (performance.now() < endAt);
});
