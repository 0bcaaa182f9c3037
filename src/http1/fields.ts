/** Header fields in the order received; names and values alternate. */
export type Fields = readonly string[];
