import { randomBytes } from "node:crypto";
import { request } from "undici";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import { createSigner } from "../src/security/create_signer.ts";
import { formatCredential } from "../src/security/format_credential.ts";
import { HEADER } from "../src/security/header.ts";
import { issueCredential } from "../src/security/issue_credential.ts";

/** A control message that may be unsigned, forged or malformed. */
type Message = { key?: string; body: string; credential?: string };

/** Sends a control message; returns the HTTP status, or 0 if the connection was closed. */
export async function rawControl(
  { host }: Member,
  { key, body, credential }: Message,
): Promise<number> {
  const recipient = `${host}:${Ports.peer}`;
  const path = "/-/rpc/push";
  const signer = createSigner({
    key: key ?? "",
    address: "127.119.0.1:7001",
    instance: randomBytes(8).toString("hex"),
  });
  const send = async (expectedEpoch?: string) => {
    const signed = formatCredential(issueCredential(signer, {
      method: "POST",
      path,
      recipient,
      expectedEpoch,
      body: Buffer.from(body),
    }));
    const header = credential ?? (key === undefined ? undefined : signed);
    return await request(`http://${recipient}${path}`, {
      method: "POST",
      body,
      headers: {
        "content-type": "application/json",
        ...(header === undefined ? {} : { [HEADER.credential]: header }),
      },
    });
  };
  try {
    const first = await send();
    await first.body.dump();
    const epoch = first.headers[HEADER.epoch];
    if (first.statusCode !== 401 || typeof epoch !== "string") {
      return first.statusCode;
    }
    const second = await send(epoch);
    await second.body.dump();
    return second.statusCode;
  } catch {
    return 0;
  }
}
