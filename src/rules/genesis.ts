import { sha256 } from "../core/sha256.ts";
import type { ChangeRecord } from "./change_record.ts";

/** The record before the first change; the first change links to its digest. */
export const GENESIS: Readonly<ChangeRecord> = {
  sequence: 0,
  id: "",
  name: "",
  version: 0,
  sectionDigest: "0".repeat(64),
  previous: "0".repeat(64),
  stateDigest: sha256(""),
  digest: "0".repeat(64),
};
