// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/fleet_file.h"

#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "kelpdeal/config.h"

namespace kelpdeal::fleet {
namespace {

constexpr std::size_t kMaxPeers = 999;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::int64_t kMaxDurationMs = std::int64_t{30} * 86'400'000;  // ms

struct FieldReader {
  std::string path;
  [[noreturn]] void fail(const std::string& field, const std::string& why) const {
    throw ConfigError(path + ": field " + field + ": " + why);
  }
  std::string text(const toml::node& node, const std::string& field) const {
    const auto* value = node.as_string();
    if (!value) fail(field, "is not a string");
    return value->get();
  }
  Address address(const toml::node& node, const std::string& field) const {
    const std::string written = text(node, field);
    const auto read = Address::parse(written);
    if (!read) fail(field, "is not an address: " + written);
    return *read;
  }
  std::string member_name(const std::string& written, const std::string& field) const {
    const auto bad = [](unsigned char c) { return c <= 0x20 || c >= 0x7f; };
    if (written.empty() || written.size() > kMaxNameBytes || std::any_of(written.begin(), written.end(), bad))
      fail(field, "must be 1 to 64 printable characters");
    return written;
  }
  Duration duration(const toml::node& node, const std::string& field) const {
    const auto* ms = node.as_integer();
    if (!ms || ms->get() < 1 || ms->get() > kMaxDurationMs)
      fail(field, "must be a whole number of ms, up to 30 days");
    return Milliseconds(ms->get());
  }
};

peers::Peer read_peer(const FieldReader& reader, const toml::node& node, const std::string& field) {
  const toml::table* group = node.as_table();
  if (!group) reader.fail(field, "is not a table with name and address");
  peers::Peer peer;
  bool addressed = false;
  for (const auto& [key, value] : *group) {
    const std::string where = field + "." + std::string(key.str());
    if (key == "name") {
      peer.name = reader.member_name(reader.text(value, where), where);
    } else if (key == "address") {
      peer.address = reader.address(value, where);
      addressed = true;
    } else {
      reader.fail(where, "is not known");
    }
  }
  if (peer.name.empty()) reader.fail(field + ".name", "is missing");
  if (!addressed) reader.fail(field + ".address", "is missing");
  if (ntohs(peer.address.raw.sin_port) == 0) reader.fail(field + ".address", "names no port");
  return peer;
}

void read_log(const FieldReader& reader, const toml::node& node, EventLogFile& log) {
  const toml::table* group = node.as_table();
  if (!group) reader.fail("log", "is not a table with file and format");
  for (const auto& [key, value] : *group) {
    const std::string where = "log." + std::string(key.str()), text = reader.text(value, where);
    if (key == "file") {
      log.path = text;
    } else if (key == "format") {
      if (text != "json" && text != "text") reader.fail(where, "is neither json nor text");
      log.json = text == "json";
    } else {
      reader.fail(where, "is not known");
    }
  }
  if (log.path.empty()) reader.fail("log.file", "is missing");
}

toml::table parsed(const std::string& path, const std::string& text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& e) {
    std::string why(e.description());
    std::replace(why.begin(), why.end(), '\n', ' ');
    throw ConfigError(path + ": line " + std::to_string(e.source().begin.line) + ": " + why);
  }
}

}  // namespace

FleetFile read_fleet_file(const std::string& path, const std::string& name) {
  const std::string text = read_file(path, "--fleet");
  const FieldReader reader{path};
  FleetFile file;
  file.name = name;
  bool listens = false, admin = false;
  for (const auto& [toml_key, value] : parsed(path, text)) {
    const std::string key(toml_key.str());
    if (key == "name") {
      file.name = reader.text(value, key);
    } else if (key == "listen") {
      file.listen = reader.address(value, key);
      listens = true;
    } else if (key == "admin") {
      file.admin = reader.address(value, key);
      admin = true;
    } else if (key == "key_file") {
      file.key_file = reader.text(value, key);
    } else if (key == "folder") {
      file.folder = reader.text(value, key);
      if (file.folder.empty()) reader.fail(key, "is empty");
    } else if (key == "peers") {
      const toml::array* list = value.as_array();
      if (!list) reader.fail(key, "is not a list");
      for (const toml::node& peer : *list)
        file.peers.push_back(read_peer(reader, peer, "peers[" + std::to_string(file.peers.size()) + "]"));
    } else if (key == "log") {
      read_log(reader, value, file.log);
    } else if (key == "unheard") {
      const toml::table* classes = value.as_table();
      if (!classes) reader.fail(key, "is not a table of classes");
      for (const auto& [name_of_class, way] : *classes) {
        const std::string field = "unheard." + std::string(name_of_class.str()),
                          word = reader.text(way, field);
        if (word != "refuse" && word != "risk") reader.fail(field, "is neither refuse nor risk");
        file.proceed_unheard[std::string(name_of_class.str())] = word == "risk";
      }
    } else if (key == "beliefs") {
      if (!value.as_boolean()) reader.fail(key, "must be true or false");
      file.beliefs = value.as_boolean()->get();
    } else if (key == "ask_ms") {
      file.ask_timeout = reader.duration(value, key);
    } else if (key == "clock_offset_ms") {
      const auto* ms = value.as_integer();
      if (!ms || std::abs(ms->get()) > kMaxDurationMs)
        reader.fail(key, "must be a whole number of ms, at most 30 days either way");
      file.clock_offset = Milliseconds(ms->get());
    } else if (key == "keep_ms") {
      file.bounds.entries.retention = reader.duration(value, key);
    } else if (key == "most_keep_ms") {
      file.bounds.max_retention = reader.duration(value, key);
    } else {
      reader.fail(key, "is not known");
    }
  }
  file.name = reader.member_name(file.name, "name");
  if (!listens) reader.fail("listen", "is missing");
  if (!admin) reader.fail("admin", "is missing");
  if (file.key_file.empty()) reader.fail("key_file", "is missing");
  if (file.peers.size() > kMaxPeers)
    reader.fail("peers", "has more than " + std::to_string(kMaxPeers) + " entries");
  if (file.bounds.max_retention < file.bounds.entries.retention)
    reader.fail("most_keep_ms", "is shorter than keep_ms");
  file.bounds.collect_interval = std::min(file.bounds.collect_interval, file.bounds.entries.retention);
  std::set<std::string> names{file.name};
  for (std::size_t i = 0; i < file.peers.size(); ++i)
    if (!names.insert(file.peers[i].name).second)
      reader.fail("peers[" + std::to_string(i) + "].name", "repeats the name " + file.peers[i].name);
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  if (!file.folder.empty()) file.folder = (folder / file.folder).string();
  if (!file.log.path.empty()) file.log.path = (folder / file.log.path).string();
  std::string keys, problem;
  try {
    keys = read_file((folder / file.key_file).string(), "key_file");
  } catch (const ConfigError&) {
    reader.fail("key_file", "cannot read " + (folder / file.key_file).string());
  }
  file.keys = peers::Keys::parse(keys, problem);
  if (!file.keys) reader.fail("key_file", problem);
  return file;
}

}  // namespace kelpdeal::fleet
