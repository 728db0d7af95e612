import { createHash } from 'node:crypto';

const digestCharacters = 64;
const tokenCharacters = 4;
const charactersPerPromptToken = 4;

/** Returns the digest of a prompt, from which every token of its answer is derived. */
export const digestPrompt = (prompt: string): string =>
  createHash('sha256').update(prompt).digest('hex');

/** Returns token `index` of the answer to the prompt with the given digest. */
export const generateToken = (promptDigest: string, index: number): string => {
  const start = (index * tokenCharacters) % digestCharacters;
  return ` ${promptDigest.slice(start, start + tokenCharacters)}:${index}`;
};

/** Returns the first `tokenCount` tokens of the answer to a prompt as one text. */
export const expectedText = (prompt: string, tokenCount: number): string => {
  const digest = digestPrompt(prompt);
  return Array.from({ length: tokenCount }, (_, index) => generateToken(digest, index)).join('');
};

/** Estimates the number of tokens of a prompt. */
export const countPromptTokens = (prompt: string): number =>
  Math.ceil(prompt.length / charactersPerPromptToken);

/** Formats the messages of a chat as the single prompt that the model reads. */
export const formatChatPrompt = (
  messages: readonly { readonly role: string; readonly content: string }[],
): string => messages.map(({ role, content }) => `${role}: ${content}\n`).join('');
