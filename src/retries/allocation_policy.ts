/** Name of a policy that splits retries between this hop and a child call. */
export type AllocationPolicy = "half" | "all" | "keep-one" | "keep-quarter";
