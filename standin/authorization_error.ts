const AUTHORIZATION =
  /^AWS4-HMAC-SHA256 Credential=([^/ ]+)\/\d{8}\/[^/ ]+\/[^/ ]+\/aws4_request, SignedHeaders=[\w;-]+, Signature=[0-9a-f]{64}$/;

/**
 * Returns the error code for a SigV4 `Authorization` header that is malformed or
 * has another access key, or null. The signature itself is not verified.
 */
export function authorizationError(
  header: string | undefined,
  accessKey: string,
): string | null {
  const match = AUTHORIZATION.exec(header ?? "");
  if (match === null) return "MissingAuthenticationTokenException";
  return match[1] === accessKey ? null : "UnrecognizedClientException";
}
