/** The platform's object store. Keys hold bodies that never change. */
export type ObjectStore = {
  get(
    key: string,
  ): Promise<
    | { kind: "found"; body: Buffer }
    | { kind: "absent" }
    | { kind: "unavailable"; message: string }
  >;
  /** Writing the same body again is harmless. */
  put(
    key: string,
    body: Buffer,
  ): Promise<{ kind: "written" } | { kind: "unavailable"; message: string }>;
};
