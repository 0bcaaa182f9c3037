import type { KeyObject } from "node:crypto";

/** A department with the keys that its sections are signed with. */
export type Department = {
  name: string;
  publicKey: string;
  privateKey: KeyObject;
};
