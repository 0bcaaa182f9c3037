/**
 * Returns the bytes that a department signs. The prefix makes a signature of a
 * section invalid for any other kind of message.
 */
export function signaturePayload(digest: string): Buffer {
  return Buffer.from(`nutmegmoor-section:${digest}`);
}
