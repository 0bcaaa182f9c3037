import type { RequestOptions } from "./request_options.ts";
import type { RequestRule } from "./request_rule.ts";

/** Builds the request rules of one service. Each call returns a new builder. */
export type ServiceBuilder = {
  readonly requests: readonly RequestRule[];
  /**
   * Declares a request; the first rule that matches applies. Defaults: `POST`,
   * the path `/NAME`, importance `normal`, no retries, a deadline of 5,000 ms,
   * idempotent only for `GET` and `HEAD`.
   */
  request(name: string, options?: RequestOptions): ServiceBuilder;
};
