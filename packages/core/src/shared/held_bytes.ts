/** Bound of the bytes that a process holds of answers that are not complete. */

/** Bytes held of one answer. */
export interface AnswerBytes {
  /** Counts more bytes; false if the process must not hold them. */
  readonly add: (bytes: number) => boolean;
  /** Counts none of them any more. */
  readonly release: () => void;
}

/** Bytes held of all answers of a process. */
export interface HeldBytes {
  readonly openAnswer: () => AnswerBytes;
}

/** Bytes of each answer that do not count, so that short answers are taken also while long ones use up the rest. */
const freeBytes = 65_536;

/** Creates the bound; `maxBytes` is for what all answers have above their first 64 KB. */
export function createHeldBytes(maxBytes: number): HeldBytes {
  let held = 0;
  return {
    openAnswer(): AnswerBytes {
      let free = freeBytes;
      let counted = 0;
      return {
        add(bytes): boolean {
          const beyond = Math.max(bytes - free, 0);
          free = Math.max(free - bytes, 0);
          if (held + beyond > maxBytes) return false;
          held += beyond;
          counted += beyond;
          return true;
        },
        release(): void {
          held -= counted;
          counted = 0;
        },
      };
    },
  };
}
