/**
 * Returns the bytes that a department signs. The prefix keeps a signature over
 * a section from being valid for any other kind of message.
 */
export function signaturePayload(digest: string): Buffer {
  return Buffer.from(`nutmegmoor-section:${digest}`);
}
