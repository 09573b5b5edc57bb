// SPDX-License-Identifier: MIT
// Runs the API's official client against the program, with stand-in record nodes.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { after, before, describe, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Client } from '@opensearch-project/opensearch';

const here = dirname(fileURLToPath(import.meta.url));
// Same as for the bulk helper: parts may be refused on a stalling machine, and a refusal states when to retry.
const retryOptions = { maxRetries: 5, wait: 300 };
const build = process.env.KELPDEAL_BUILD ?? join(here, '../../../build');

// Resolves with the first capture group once a process's output matches the pattern.
function waitForOutput(stream, pattern) {
  return new Promise((resolve, reject) => {
    let text = '';
    stream.on('data', (bytes) => {
      text += bytes;
      const found = text.match(pattern);
      if (found) resolve(found[1]);
    });
    stream.on('end', () => reject(new Error(`ended before ${pattern}: ${text}`)));
  });
}

for (const api of ['frames', 'opensearch']) {
  describe(`the official client, record nodes over ${api}`, () => {
    let folder, standIn, program, client;

    before(async () => {
      folder = mkdtempSync(join(tmpdir(), 'kelpdeal-client-'));
      standIn = spawn(join(build, 'kelpdeal_stand_in'), [folder, api], { stdio: ['pipe', 'pipe', 'inherit'] });
      const discovery = await waitForOutput(standIn.stdout, /ready (\S+)\n/);
      const front = readFileSync(join(here, '../front.json'), 'utf8').replace('"frames"', `"${api}"`);
      writeFileSync(join(folder, 'front.json'), front);
      program = spawn(join(build, 'kelpdeal'), ['--front', join(folder, 'front.json')], {
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { ...process.env, GW_NAME: 'n0', GW_LISTEN: '127.0.0.1:0', GW_DISCOVERY: discovery,
               GW_CONFIG: join(folder, 'config.json') },
      });
      const address = await waitForOutput(program.stderr, /searches on (\S+)\n/);
      client = new Client({ node: `http://${address}`, maxRetries: 0 });
    });

    after(async () => {
      await client?.close();
      program?.kill('SIGTERM');
      standIn?.stdin.end();
      if (folder) rmSync(folder, { recursive: true });
    });

    test('ping and info', async () => {
      assert.equal((await client.ping()).statusCode, 200);
      assert.equal((await client.info()).body.version.distribution, 'opensearch');
    });

    test('search with sort, aggregations and a total', async () => {
      const { body } = await client.search({
        index: 'lifts,escalators',
        body: {
          query: { term: { site: 'derby' } },
          sort: [{ register: 'desc' }],
          size: 3,
          aggs: { active: { terms: { field: 'active' } }, faults: { avg: { field: 'faults' } } },
        },
      });
      assert.equal(body.hits.total.value, 15);
      const registers = body.hits.hits.map((hit) => hit._source.register);
      assert.deepEqual(registers, [...registers].sort().reverse());
      assert.equal(body.aggregations.active.buckets.reduce((sum, bucket) => sum + bucket.doc_count, 0), 15);
    });

    test('msearch', async () => {
      const { body } = await client.msearch({
        body: [{ index: 'lifts' }, { size: 0 }, { index: 'escalators' }, { size: 0 }, { index: 'none' }, {}],
      });
      assert.deepEqual(body.responses.map((response) => response.status), [200, 200, 404]);
      assert.equal(body.responses[0].hits.total.value + body.responses[1].hits.total.value, 45);
    });

    test('the bulk helper', async () => {
      const documents = Array.from({ length: 500 }, (_, i) => ({ id: `bulk-${i}`, site: 'bulk', n: i }));
      let dropped = 0;
      const result = await client.helpers.bulk({
        datasource: documents,
        flushBytes: 4000,
        concurrency: 3,
        retries: 5,
        wait: 300,
        onDocument: (document) => ({ index: { _index: 'lifts', _id: document.id } }),
        onDrop: () => { dropped += 1; },
      });
      assert.equal(dropped, 0);
      assert.equal(result.successful, 500);
      const { body } = await client.count({ index: 'lifts', body: { query: { term: { site: 'bulk' } } } });
      assert.equal(body.count, 500);
    });

    test('the scrollSearch helper', async () => {
      const seen = [];
      for await (const page of client.helpers.scrollSearch({
        index: 'lifts',
        body: { size: 60, query: { term: { site: 'bulk' } }, sort: ['site'] },
      }, retryOptions)) seen.push(...page.documents.map((document) => document.id));
      assert.equal(seen.length, 500);
      assert.equal(new Set(seen).size, 500);
    });

    test('the scrollDocuments helper', async () => {
      let count = 0;
      for await (const document of client.helpers.scrollDocuments(
        { index: 'equipment', body: { size: 9, query: { term: { active: true } } } }, retryOptions))
        count += document.active ? 1 : 0;
      assert.equal(count, 15);
    });

    test('the search and msearch helpers', async () => {
      const documents = await client.helpers.search(
        { index: 'lifts', body: { query: { term: { site: 'leicester' } }, size: 4 } }, retryOptions);
      assert.equal(documents.length, 4);
      const msearch = client.helpers.msearch({ operations: 5 });
      const answers = await Promise.all(['derby', 'leicester', 'nottingham'].map((site) =>
        msearch.search({ index: 'escalators' }, { query: { term: { site } } })));
      assert.equal(answers.reduce((sum, { body }) => sum + body.hits.total.value, 0), 18);
      msearch.stop();
    });

    test('points in time', async () => {
      const opened = await client.createPit({ index: 'lifts', keep_alive: '1m' });
      let id = opened.body.pit_id, after, seen = 0;
      for (;;) {
        const body = { size: 100, pit: { id, keep_alive: '1m' }, sort: [{ site: 'asc' }] };
        if (after) body.search_after = after;
        const { body: page } = await client.search({ body });
        if (page.hits.hits.length === 0) break;
        seen += page.hits.hits.length;
        after = page.hits.hits.at(-1).sort;
        id = page.pit_id;
      }
      assert.equal(seen, 527);
      assert.equal((await client.getAllPits()).body.pits.length, 1);
      const closed = await client.deletePit({ body: { pit_id: [id] } });
      assert.equal(closed.body.pits[0].successful, true);
      await assert.rejects(client.search({ body: { pit: { id } } }), (error) => error.statusCode === 404);
    });

    test('documents', async () => {
      const created = await client.index({ index: 'escalators', id: 'js-1', body: { site: 'js', n: 1 } });
      assert.equal(created.statusCode, 201);
      assert.equal((await client.get({ index: 'escalators', id: 'js-1' })).body._source.n, 1);
      assert.equal((await client.exists({ index: 'escalators', id: 'js-1' })).statusCode, 200);
      assert.equal((await client.getSource({ index: 'escalators', id: 'js-1' })).body.site, 'js');
      const documents = await client.mget({ body: { docs: [{ _index: 'escalators', _id: 'js-1' }, { _index: 'lifts', _id: 'no' }] } });
      assert.deepEqual(documents.body.docs.map((doc) => doc.found), [true, false]);
      await assert.rejects(client.create({ index: 'escalators', id: 'js-1', body: { site: 'js' } }),
        (error) => error.statusCode === 409 && error.body.error.type === 'version_conflict_engine_exception');
      await assert.rejects(client.get({ index: 'escalators', id: 'none' }), (error) => error.statusCode === 404);
    });

    test('index metadata, health and _cat pages', async () => {
      assert.equal((await client.indices.exists({ index: 'lifts' })).body, true);
      assert.equal((await client.indices.exists({ index: 'none' })).body, false);
      assert.ok((await client.indices.getMapping({ index: 'lifts' })).body.lifts);
      assert.ok((await client.indices.getAlias({ index: 'lifts' })).body.lifts.aliases.equipment);
      assert.equal((await client.cluster.health()).body.status, 'green');
      assert.equal((await client.cat.indices({ format: 'json' })).body.length, 3);
      assert.match((await client.cat.nodes({ v: true })).body, /^ip/);
      assert.ok((await client.tasks.list()).body.nodes);
      assert.equal((await client.searchTemplate({ index: 'lifts',
        body: { source: { query: { term: { site: '{{s}}' } }, size: 2 }, params: { s: 'derby' } } })).body.hits.hits.length, 2);
    });

    test('errors have the types of the API', async () => {
      await assert.rejects(client.search({ index: 'lifts', body: { query: { near: {} } } }),
        (error) => error.statusCode === 400 && error.body.error.root_cause[0].type === 'parsing_exception');
    });
  });
}
