const AUTHORIZATION =
  /^AWS4-HMAC-SHA256 Credential=([^/ ]+)\/\d{8}\/[^/ ]+\/[^/ ]+\/aws4_request, SignedHeaders=[\w;-]+, Signature=[0-9a-f]{64}$/;

/** Returns the code of the fault in a SigV4 header, or null; the signature itself is not checked. */
export function authorizationError(
  header: string | undefined,
  accessKey: string,
): string | null {
  const match = AUTHORIZATION.exec(header ?? "");
  if (match === null) return "MissingAuthenticationTokenException";
  return match[1] === accessKey ? null : "UnrecognizedClientException";
}
