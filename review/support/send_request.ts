import { type Agent, request } from "node:http";
import { PORTS } from "./start_deployment.ts";

/** What a client got; `status` is 0 if the connection ended without answer. */
export type Answer = {
  id: string;
  status: number;
  body: string;
  signed: boolean;
  /** The request was sent on a connection that had answered before. */
  kept: boolean;
  ms: number;
};
let count = 0;

/** Sends one request to the daemon of a machine, as a client there does. */
export function sendRequest(
  ip: string,
  path: string,
  { method = "GET", body, deadlineMs = 5_000, agent, id = `q${++count}` }: {
    method?: string;
    body?: Buffer;
    deadlineMs?: number;
    agent?: Agent;
    id?: string;
  } = {},
): Promise<Answer> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let answered = false;
    const answer = (status: number, text: string, signed: boolean) => {
      if (answered) return;
      answered = true;
      const ms = performance.now() - startedAt;
      const kept = outgoing.reusedSocket;
      resolve({ id, status, body: text, signed, kept, ms });
    };
    const outgoing = request({
      host: ip,
      port: PORTS.outbound,
      method,
      path,
      agent: agent ?? false,
      headers: {
        Host: "site.example",
        "Request-Id": id,
        "Request-Deadline": deadlineMs,
        ...(body && { "Content-Length": body.length }),
      },
    }, (response) => {
      let text = "";
      response.setEncoding("latin1");
      response.on("data", (chunk) => text += chunk);
      response.on("error", () => answer(0, "", false));
      response.on("end", () =>
        answer(
          response.statusCode ?? 0,
          text,
          response.headers["response-signature"] !== undefined,
        ));
    });
    outgoing.on("error", () => answer(0, "", false));
    outgoing.end(body);
  });
}
