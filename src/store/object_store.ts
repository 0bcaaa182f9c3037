/** The platform's object store. The object of a key never changes. */
export type ObjectStore = {
  get(
    key: string,
  ): Promise<
    | { kind: "found"; body: Buffer }
    | { kind: "absent" }
    | { kind: "unavailable"; message: string }
  >;
  /** Idempotent: the same body may be written again. */
  put(
    key: string,
    body: Buffer,
  ): Promise<{ kind: "written" } | { kind: "unavailable"; message: string }>;
};
