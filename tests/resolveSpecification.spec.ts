/** Templates and parameters: an error names the invalid field, its value and the allowed values. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { problemsOf, resolveSpecification } from '../src/configuration/resolveSpecification.js';
import type { Template } from '../src/configuration/template.js';
import { configurationSchema, templateSchema } from '../src/configuration/template.js';

const TEMPLATE: Template = templateSchema.parse({
  parameters: {
    version: { type: 'version' },
    boxes: { type: 'boxes' },
    urgency: { type: 'choice', choices: ['time', 'origin-bytes'], default: 'time' },
    replicas: { type: 'number', minimum: 1, maximum: 8, default: 2 },
  },
  rollout: {
    model: 'advisor',
    version: { parameter: 'version' },
    boxes: { parameter: 'boxes' },
    urgency: { parameter: 'urgency' },
    leastReadyReplicas: { parameter: 'replicas' },
  },
});

function resolve(parameters: Record<string, unknown>): ReturnType<typeof resolveSpecification> {
  return resolveSpecification(TEMPLATE, { template: 'chat', parameters });
}

test('should fill in parameters and defaults', () => {
  const specification = resolve({ version: 'v1', boxes: ['box-1'] })._unsafeUnwrap();
  expect(specification.model).toEqual('advisor');
  expect(specification.urgency).toEqual('time');
  expect(specification.leastReadyReplicas).toEqual(2);
  expect(specification.switch).toEqual('together');
});

const WRONG: { what: string; parameters: Record<string, unknown>; field: string }[] = [
  { what: 'a missing parameter', parameters: { boxes: ['box-1'] }, field: 'parameters.version' },
  {
    what: 'an unknown parameter',
    parameters: { version: 'v1', boxes: ['b'], colour: 1 },
    field: 'parameters.colour',
  },
  { what: 'no box', parameters: { version: 'v1', boxes: [] }, field: 'parameters.boxes' },
  { what: 'a bad box name', parameters: { version: 'v1', boxes: ['b', 'B 2'] }, field: 'parameters.boxes.1' },
  {
    what: 'a choice not offered',
    parameters: { version: 'v1', boxes: ['b'], urgency: 'now' },
    field: 'parameters.urgency',
  },
  {
    what: 'a number over its maximum',
    parameters: { version: 'v1', boxes: ['b'], replicas: 9 },
    field: 'parameters.replicas',
  },
  {
    what: 'a path as a version',
    parameters: { version: '../v1', boxes: ['b'] },
    field: 'parameters.version',
  },
];

for (const { what, parameters, field } of WRONG) {
  test(`should name the field of ${what}`, () => {
    const problems = resolve(parameters)._unsafeUnwrapErr();
    expect(problems.map((problem) => problem.field)).toEqual([field]);
    expect(problems[0].allowed.length > 0).toEqual(true);
  });
}

test('should refuse a fixed value out of bounds in the template itself', () => {
  const template = { ...TEMPLATE, rollout: { ...TEMPLATE.rollout, originBudgetCopies: 0 } };
  const problems = resolveSpecification(template, {
    template: 'chat',
    parameters: { version: 'v1', boxes: ['b'] },
  });
  expect(problems._unsafeUnwrapErr()[0].field).toEqual('rollout.originBudgetCopies');
});

test('should never throw, whatever an operator sends', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (template, configuration) => {
      const parsedTemplate = templateSchema.safeParse(template);
      if (!parsedTemplate.success) problemsOf(parsedTemplate.error, template);
      const parsed = configurationSchema.safeParse(configuration);
      if (!parsed.success) problemsOf(parsed.error, configuration);
      resolve((configuration ?? {}) as Record<string, unknown>);
    }),
    { seed: 17, numRuns: 300 },
  );
});
