import { Packr } from "msgpackr";

/** Encodes messages between daemons; plain MessagePack, without extensions. */
export const messageCodec = new Packr({ useRecords: false });
