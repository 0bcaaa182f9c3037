import type { Recording } from "./recording.ts";

/** Largest response body that is kept for resends, in bytes. */
const MAX_RECORDED_BYTES = 64 * 1024;

/**
 * Adds a chunk to a recording; a recording that grows too large is discarded.
 */
export function recordChunk(recording: Recording, chunk: Buffer): void {
  recording.size += chunk.length;
  if (recording.size > MAX_RECORDED_BYTES) {
    recording.overflow = true;
    recording.chunks = [];
  }
  if (!recording.overflow) recording.chunks.push(chunk);
}
