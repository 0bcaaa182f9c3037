/** Parts of a request line. */
export type RequestLine = { method: string; target: string };
