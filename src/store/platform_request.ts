/** One HTTP request to the platform, before it is signed. */
export type PlatformRequest = {
  method: "GET" | "PUT" | "POST";
  /** Path with each segment percent-encoded; no query. */
  path: string;
  /** Header names are in lower case. */
  headers: Record<string, string>;
  body: Buffer;
};
