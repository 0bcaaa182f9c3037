import { Packr } from "msgpackr";

/** Codec of messages between daemons: plain MessagePack without extensions. */
export const messageCodec = new Packr({ useRecords: false });
