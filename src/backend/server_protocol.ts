import type { CallRequest } from "../calls/call_request.ts";
import type { Message } from "../http1/message.ts";
import type { ServerResponse } from "./server_response.ts";

/** Encodes requests to a backend server and decodes its responses. */
export type ServerProtocol = {
  /** Returns the head of a request that may take `remainingMs`. */
  formatRequest(request: CallRequest, remainingMs: number): string;
  readResponse(message: Message, request: CallRequest): ServerResponse;
};
