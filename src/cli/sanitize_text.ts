/** Replaces control characters: text of other parties must not control the terminal. */
export function sanitizeText(text: string): string {
  return text.replace(/\p{Cc}/gu, "?");
}
