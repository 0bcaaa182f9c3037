/** Policy for how many of its retries a hop allocates to a child call. */
export type AllocationPolicy = "half" | "all" | "keep-one" | "keep-quarter";
