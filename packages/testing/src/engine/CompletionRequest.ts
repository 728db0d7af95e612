import * as zod from 'zod';
import { formatChatPrompt } from './generateText';

const commonFields = {
  model: zod.string(),
  stream: zod.boolean().default(false),
  max_tokens: zod.number().int().positive().optional(),
  max_completion_tokens: zod.number().int().positive().optional(),
  priority: zod.number().default(0),
  resume_from_token: zod.number().int().nonnegative().default(0),
};

const contentPart = zod.object({ type: zod.literal('text'), text: zod.string() });
const content = zod
  .union([zod.string(), zod.array(contentPart)])
  .transform((value) =>
    typeof value === 'string' ? value : value.map(({ text }) => text).join(''),
  );

const chatSchema = zod.object({
  ...commonFields,
  messages: zod.array(zod.object({ role: zod.string(), content })).min(1),
});
const completionSchema = zod.object({ ...commonFields, prompt: zod.string() });

const defaultMaxTokens = 16;

/** A validated request of the chat or the completion route. */
export interface CompletionRequest {
  readonly object: 'chat.completion' | 'text_completion';
  readonly model: string;
  readonly prompt: string;
  readonly isStream: boolean;
  readonly maxTokens: number;
  readonly priority: number;
  readonly resumeFromToken: number;
}

type CommonFields = Omit<zod.infer<typeof completionSchema>, 'prompt'>;

const toRequest = (
  object: CompletionRequest['object'],
  common: CommonFields,
  prompt: string,
): CompletionRequest => ({
  object,
  model: common.model,
  prompt,
  isStream: common.stream,
  maxTokens: common.max_tokens ?? common.max_completion_tokens ?? defaultMaxTokens,
  priority: common.priority,
  resumeFromToken: common.resume_from_token,
});

/** Validates a body of the chat route; returns the error as text when it is invalid. */
export const parseChat = (body: unknown): CompletionRequest | string => {
  const parsed = chatSchema.safeParse(body);
  if (!parsed.success) return parsed.error.message;
  return toRequest('chat.completion', parsed.data, formatChatPrompt(parsed.data.messages));
};

/** Validates a body of the completion route; returns the error as text when it is invalid. */
export const parseCompletion = (body: unknown): CompletionRequest | string => {
  const parsed = completionSchema.safeParse(body);
  if (!parsed.success) return parsed.error.message;
  return toRequest('text_completion', parsed.data, parsed.data.prompt);
};
