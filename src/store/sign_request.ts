import { createHash, createHmac } from "node:crypto";
import type { Credentials } from "./credentials.ts";
import type { PlatformRequest } from "./platform_request.ts";

/**
 * Returns the headers of a request with its AWS Signature Version 4 added.
 * `date` is wall-clock time. The path is signed as it is, without the second
 * encoding that services other than S3 ask for: DynamoDB's path is always `/`.
 */
export function signRequest(
  request: PlatformRequest,
  { credentials, service, date }: {
    credentials: Credentials;
    service: string;
    date: Date;
  },
): Record<string, string> {
  const timestamp = date.toISOString().replace(/[:-]|\.\d{3}/g, "");
  const day = timestamp.slice(0, 8);
  const scope = `${day}/${credentials.region}/${service}/aws4_request`;
  const headers = { ...request.headers, "x-amz-date": timestamp };
  const headerNames = Object.keys(headers).sort();
  const canonical = canonicalRequest(request, headers, headerNames);
  const stringToSign = `AWS4-HMAC-SHA256\n${timestamp}\n${scope}\n${
    digest(canonical)
  }`;
  let key = hmac(`AWS4${credentials.secretKey}`, day);
  for (const part of [credentials.region, service, "aws4_request"]) {
    key = hmac(key, part);
  }
  const signature = hmac(key, stringToSign).toString("hex");
  return {
    ...headers,
    authorization:
      `AWS4-HMAC-SHA256 Credential=${credentials.accessKey}/${scope}, ` +
      `SignedHeaders=${headerNames.join(";")}, Signature=${signature}`,
  };
}

function canonicalRequest(
  request: PlatformRequest,
  headers: Record<string, string>,
  names: string[],
): string {
  const lines = names.map((name) =>
    `${name}:${headers[name]!.trim().replace(/ +/g, " ")}\n`
  );
  return [
    request.method,
    request.path,
    "",
    lines.join(""),
    names.join(";"),
    digest(request.body),
  ].join("\n");
}

function digest(data: string | Buffer): string {
  return createHash("sha256").update(data).digest("hex");
}

function hmac(key: string | Buffer, text: string): Buffer {
  return createHmac("sha256", key).update(text).digest();
}
