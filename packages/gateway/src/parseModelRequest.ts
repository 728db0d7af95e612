import * as errors from '@comfreydrum/errors';
import * as zod from 'zod';
import { createRefusal, type Refusal } from './Refusal';

const messageSchema = zod.looseObject({ role: zod.string(), content: zod.unknown() });

const modelRequestSchema = zod.looseObject({
  model: zod.string().min(1),
  stream: zod.boolean().optional(),
  messages: zod.array(messageSchema).min(1).optional(),
  prompt: zod.union([zod.string(), zod.array(zod.string())]).optional(),
  max_tokens: zod.number().int().positive().optional(),
});

/** A chat or completion request. Fields that the gateway does not use are forwarded unchanged. */
export type ModelRequest = Readonly<zod.infer<typeof modelRequestSchema>>;

const refuse = (message: string): errors.Result<never, Refusal> =>
  errors.err(
    createRefusal({ step: 'parse request', statusCode: 400, code: 'invalid_request', message }),
  );

const decode = (body: Buffer): string | undefined => {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    return undefined;
  }
};

/** Parses and validates the body of a chat or completion request. */
export const parseModelRequest = (body: Buffer): errors.Result<ModelRequest, Refusal> => {
  const text = decode(body);
  if (text === undefined) return refuse('the request body is not valid UTF-8');
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (cause) {
    return refuse(`the request body is not JSON: ${errors.describeCause(cause)}`);
  }
  const checked = modelRequestSchema.safeParse(document);
  if (!checked.success) return refuse(errors.describeIssues(checked.error.issues).join('; '));
  if (checked.data.messages === undefined && checked.data.prompt === undefined) {
    return refuse('.messages or .prompt: required');
  }
  return errors.ok(checked.data);
};
