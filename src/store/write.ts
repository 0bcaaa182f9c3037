import type { Item } from "./item.ts";

/** One write of a transaction, with the condition that it depends on. */
export type Write = {
  item: Item;
  /**
   * `absent`: no row has this key. `equals`: the row's attribute has this
   * value. `none`: the write is unconditional.
   */
  condition:
    | { kind: "none" }
    | { kind: "absent" }
    | { kind: "equals"; attribute: string; value: string | number };
};
