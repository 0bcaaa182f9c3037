import { once } from "node:events";
import { connect, createServer } from "node:net";

/**
 * Starts a TCP proxy from `at` to `to`. While it is cut, nothing passes in
 * either direction and no connection ends, as behind a partition; what is held
 * up is delivered when the cut heals.
 */
export async function startProxy(at, to) {
  const sockets = new Set();
  const heal = new Set();
  let isCut = false;
  const whenOpen = (act) => {
    if (isCut) heal.add(act);
    else act();
  };
  const forward = (source, destination) => {
    sockets.add(source);
    source.setNoDelay(true);
    source.on(
      "data",
      (chunk) =>
        whenOpen(() => !destination.destroyed && destination.write(chunk)),
    );
    source.on("end", () => whenOpen(() => destination.end()));
    source.on("error", () => {});
    source.on("close", () => {
      sockets.delete(source);
      whenOpen(() => destination.destroy());
    });
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    const target = connect({ ...to, allowHalfOpen: true });
    forward(caller, target);
    forward(target, caller);
  });
  server.listen(at.port, at.host);
  await once(server, "listening");
  return {
    cut() {
      isCut = true;
    },
    heal() {
      isCut = false;
      const acts = [...heal];
      heal.clear();
      for (const act of acts) act();
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
