import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnyRouter } from "@trpc/server";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import type { Logger } from "../core/logger.ts";
import { authenticate } from "./authenticate.ts";
import { epochOf } from "./epoch_of.ts";
import type { Verifier } from "./verifier.ts";
import { HEADER } from "./header.ts";
import { MAX_CONTROL_BYTES } from "./max_control_bytes.ts";
import { readBody } from "./read_body.ts";
import type { Rejection } from "./rejection.ts";
import { signOnEnd } from "./sign_on_end.ts";

const PREFIX = "/-/rpc/";

const STATUS: Record<Rejection, number> = {
  unsigned: 401,
  forged: 401,
  "wrong-epoch": 401,
  replayed: 401,
  oversized: 413,
  malformed: 400,
};

type Dependencies = { verifier: Verifier; router: AnyRouter; log: Logger };

/**
 * Returns the handler of requests under `/-/rpc/`. Every message is
 * authenticated on its raw body before tRPC parses it; rejections are counted
 * and logged.
 */
export function createControlHandler(
  dependencies: Dependencies,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    try {
      await handle(dependencies, request, response);
    } catch (error) {
      dependencies.log("control-aborted", { error: String(error) });
      response.destroy();
    }
  };
}

async function handle(
  { verifier, router, log }: Dependencies,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const recordRejection = (reason: Rejection) => {
    verifier.rejected[reason]++;
    const { remoteAddress } = request.socket;
    log("control-rejected", { reason, peer: remoteAddress, path: request.url });
    return STATUS[reason];
  };
  const reject = (reason: Rejection) => {
    response.writeHead(recordRejection(reason), {
      [HEADER.epoch]: epochOf(verifier.window),
      // The rest of an oversized body is not read, so the connection is closed.
      ...(reason === "oversized" && { connection: "close" }),
    }).end(reason);
  };
  const path = request.url ?? "";
  const method = request.method ?? "";
  const body = await readBody(request, MAX_CONTROL_BYTES);
  if (body === null) return reject("oversized");
  const header = request.headers[HEADER.credential] as string | undefined;
  const result = authenticate(verifier, { method, path, header, body });
  if (!result.ok) return reject(result.reason);
  const { sender, mac } = result.credential;
  signOnEnd(response, { key: verifier.key, requestMac: mac });
  // An empty body is omitted, because tRPC would reject it as malformed JSON.
  if (body.length > 0) Object.assign(request, { body: body.toString() });
  await nodeHTTPRequestHandler({
    router,
    req: request,
    res: response,
    path: path.split("?")[0]!.slice(PREFIX.length),
    createContext: () => ({ sender }),
    allowBatching: false,
    onError: ({ error }) => {
      if (error.code === "INTERNAL_SERVER_ERROR") {
        log("control-failed", { path, error: error.message });
      } else recordRejection("malformed");
    },
  });
}
