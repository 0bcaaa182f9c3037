import { Agent, request } from "node:http";

const OUTBOUND_PORT = 8304;
// Of a longer answer only the beginning is kept.
const MAX_TEXT_LENGTH = 200;
let count = 0;

/**
 * Sends one request to the daemon of a VM on a kept connection. Resolves to its
 * status, 0 if the connection ended without a complete answer.
 */
export function sendTo(
  { ip, name },
  path,
  {
    method = "GET",
    body = "",
    deadlineMs = 5_000,
    agent = keptConnections,
    record,
  },
) {
  const id = `q${++count}`;
  const sentAt = performance.now();
  record("sent", {
    id,
    vm: name,
    method,
    path,
    bytes: body.length,
    deadlineMs,
  });
  return new Promise((resolve) => {
    const settle = (status, text = "", reused = false, code = "") => {
      clearTimeout(timer);
      const ms = Math.round(performance.now() - sentAt);
      record("answered", { id, vm: name, status, ms, ...(code && { code }) });
      resolve({ id, sentAt, status, text, ms, reused });
    };
    const outgoing = request({
      host: ip,
      port: OUTBOUND_PORT,
      method,
      path,
      agent,
      headers: {
        Host: "shop.example",
        "Request-Id": id,
        "Request-Deadline": deadlineMs,
        "Content-Length": Buffer.byteLength(body),
      },
    }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => {
        if (text.length < MAX_TEXT_LENGTH) text += chunk;
      });
      response.on(
        "error",
        ({ code }) => settle(0, "", outgoing.reusedSocket, code),
      );
      response.on(
        "end",
        () => settle(response.statusCode, text.slice(0, MAX_TEXT_LENGTH)),
      );
    });
    const timer = setTimeout(() => {
      outgoing.destroy(Object.assign(new Error(), { code: "DEADLINE" }));
    }, deadlineMs + 500);
    outgoing.on(
      "error",
      ({ code }) => settle(0, "", outgoing.reusedSocket, code),
    );
    outgoing.end(body);
  });
}

export const keptConnections = new Agent({ keepAlive: true });

/** Whether the platform finds a daemon ready. */
export function isReady({ ip }) {
  return new Promise((resolve) => {
    const probe = request(
      { host: ip, port: 8302, path: "/readiness", agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    probe.setTimeout(1_000, () => probe.destroy());
    probe.on("error", () => resolve(false));
    probe.end();
  });
}
