import * as zod from 'zod';
import type { ModelRequest } from './parseModelRequest';

const partsSchema = zod.array(zod.object({ text: zod.string().default('') }));

const contentText = (content: unknown): string => {
  if (typeof content === 'string') return content;
  const parts = partsSchema.safeParse(content).data ?? [];
  return parts.map(({ text }) => text).join('');
};

/**
 * Returns the prompt text that engines hash into the prefixes of their cache events: one line per chat
 * message, starting with its role.
 */
export const promptText = ({ messages, prompt }: ModelRequest): string => {
  if (messages === undefined) return typeof prompt === 'string' ? prompt : (prompt ?? []).join('');
  return messages.map(({ role, content }) => `${role}: ${contentText(content)}\n`).join('');
};
