/** TCP proxy on a loopback address, whose open channels can fall silent while new ones work. */
import { connect, createServer } from "node:net";

/** Starts a proxy in front of `target` ("host:port"). */
export async function openProxy(host, target) {
  const [targetHost, targetPort] = target.split(":");
  const channels = new Set();
  let mute = false;
  let lost;
  const server = createServer((near) => {
    const far = connect({ host: targetHost, port: Number(targetPort) });
    const channel = { near, far, lastMs: performance.now(), silent: false };
    channels.add(channel);
    const pass = (from, to) => {
      from.on("data", (chunk) => {
        if (mute) channel.silent = true;
        if (channel.silent) return;
        channel.lastMs = performance.now();
        if (lost === undefined || !chunk.includes(lost.text)) {
          return void to.write(chunk);
        }
        setTimeout(() => to.write(chunk), lost.againMs);
        lost = undefined;
      });
      from.on("error", () => undefined);
      from.on("close", () => {
        channels.delete(channel);
        to.destroy();
      });
    };
    pass(near, far);
    pass(far, near);
  });
  await new Promise((done) => server.listen(0, host, done));
  return {
    address: `${host}:${server.address().port}`,
    /** Drops from now on all bytes of the open channels that have carried none for `quietMs`; returns their number. */
    silence({ quietMs = 0 } = {}) {
      const oldestMs = performance.now() - quietMs;
      const chosen = [...channels].filter(({ lastMs }) => lastMs <= oldestMs);
      for (const channel of chosen) channel.silent = true;
      return chosen.length;
    },
    /** While mute, no request gets an answer; a channel on which one was lost stays silent for good. */
    setMute(next) {
      mute = next;
    },
    /** Loses the next packet that contains a text; it is sent again after `againMs`. */
    losePacket(text, againMs) {
      lost = { text, againMs };
    },
    /** Resets the silent channels, as the keep-alive probes of their ends would do. */
    resetSilent() {
      for (const { near, far, silent } of channels) {
        if (!silent) continue;
        near.resetAndDestroy();
        far.resetAndDestroy();
      }
    },
    close() {
      server.close();
      for (const { near, far } of channels) {
        near.destroy();
        far.destroy();
      }
    },
  };
}
