#include "scenarios/runner.h"

#include <signal.h>
#include <stdlib.h>
#include <lua.hpp>

#include <chrono>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "record/record_module.h"
#include "scenarios/background_streams.h"
#include "scenarios/process_group.h"
#include "scenarios/process_usage.h"
#include "scenarios/raw_connections.h"

namespace wist::scenarios {
namespace {

using json = nlohmann::json;

constexpr seconds kCallTimeout{20};

// State shared by the functions that a script calls.
struct script_state {
  explicit script_state(const std::string& log_directory)
      : processes(log_directory), streams(http, clock) {}

  std::shared_ptr<const i_clock> clock = MakeSystemClock();
  std::shared_ptr<i_http_client> http = MakeHttpClient(clock);
  process_group processes;
  background_streams streams;
  raw_connections raw;
  std::mt19937_64 random;
};

script_state& ScriptState(lua_State* lua) {
  return *static_cast<script_state*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

// Runs `body`, which implements a Lua function, and converts an exception into
// a Lua error.
template <typename Body>
int WithLuaErrors(lua_State* lua, Body body) {
  std::string message;
  try {
    return body();
  } catch (const std::exception& error) {
    message = error.what();
  }
  lua_pushlstring(lua, message.data(), message.size());
  return lua_error(lua);
}

std::string CheckText(lua_State* lua, int index) {
  std::size_t size = 0;
  const char* text = luaL_checklstring(lua, index, &size);
  return {text, size};
}

void PushText(lua_State* lua, const std::string& text) {
  lua_pushlstring(lua, text.data(), text.size());
}

void PushJson(lua_State* lua, const json& value) {
  if (value.is_boolean()) {
    lua_pushboolean(lua, value.get<bool>());
  } else if (value.is_number_integer()) {
    lua_pushinteger(lua, value.get<lua_Integer>());
  } else if (value.is_number()) {
    lua_pushnumber(lua, value.get<double>());
  } else if (value.is_string()) {
    PushText(lua, value.get<std::string>());
  } else if (value.is_array()) {
    lua_newtable(lua);
    lua_Integer index = 0;
    for (const json& item : value) {
      PushJson(lua, item);
      lua_rawseti(lua, -2, ++index);
    }
  } else if (value.is_object()) {
    lua_newtable(lua);
    for (const auto& [name, item] : value.items()) {
      PushJson(lua, item);
      lua_setfield(lua, -2, name.c_str());
    }
  } else {
    lua_pushnil(lua);
  }
}

http_request ReadRequest(lua_State* lua, int first) {
  http_request request;
  request.method = CheckText(lua, first);
  request.path = CheckText(lua, first + 1);
  request.body = luaL_optstring(lua, first + 2, "");
  if (lua_istable(lua, first + 3)) {
    lua_pushnil(lua);
    while (lua_next(lua, first + 3) != 0) {
      request.headers.push_back({CheckText(lua, -2), CheckText(lua, -1)});
      lua_pop(lua, 1);
    }
  }
  return request;
}

http_address ReadAddress(lua_State* lua, int index) {
  return {"127.0.0.1",
          static_cast<std::uint16_t>(luaL_checkinteger(lua, index))};
}

// start(name, {program, argument...}, {VARIABLE = value...})
int Start(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    std::map<std::string, std::string> environment;
    if (lua_istable(lua, 3)) {
      lua_pushnil(lua);
      while (lua_next(lua, 3) != 0) {
        environment[CheckText(lua, -2)] = CheckText(lua, -1);
        lua_pop(lua, 1);
      }
    }
    std::vector<std::string> command;
    const lua_Integer count = luaL_len(lua, 2);
    for (lua_Integer i = 1; i <= count; ++i) {
      lua_rawgeti(lua, 2, i);
      command.push_back(CheckText(lua, -1));
      lua_pop(lua, 1);
    }
    ScriptState(lua).processes.Start(CheckText(lua, 1), command, environment);
    return 0;
  });
}

// signal(name, "KILL" | "STOP" | "CONT" | "TERM")
int Signal(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const std::string name = CheckText(lua, 2);
    const int number = name == "KILL"   ? SIGKILL
                       : name == "STOP" ? SIGSTOP
                       : name == "CONT" ? SIGCONT
                                        : SIGTERM;
    ScriptState(lua).processes.Signal(CheckText(lua, 1), number);
    return 0;
  });
}

// exit_code(name): the exit code, or nil while the process runs
int ExitCode(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const int code = ScriptState(lua).processes.ExitCode(CheckText(lua, 1));
    if (code < 0)
      return 0;
    lua_pushinteger(lua, code);
    return 1;
  });
}

constexpr double kMegabytesPerKibibyte = 1024 / 1e6;

// Pushes a value in KiB of /proc/PID/status in megabytes.
int PushStatusMegabytes(lua_State* lua, const std::string& field) {
  const auto value = StatusValue(
      ScriptState(lua).processes.ProcessId(CheckText(lua, 1)), field);
  if (!value)
    return 0;
  lua_pushnumber(lua, *value * kMegabytesPerKibibyte);
  return 1;
}

// peak_memory_mb(name): the largest resident memory of a running process so far
int PeakMemory(lua_State* lua) {
  return WithLuaErrors(lua, [&] { return PushStatusMegabytes(lua, "VmHWM"); });
}

// resident_memory_mb(name): the resident memory of a running process now
int ResidentMemory(lua_State* lua) {
  return WithLuaErrors(lua, [&] { return PushStatusMegabytes(lua, "VmRSS"); });
}

// receive_queues_mb(name): received bytes that the process has not read
int ReceiveQueues(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    lua_pushnumber(
        lua, static_cast<double>(ReceiveQueueBytes(
                 ScriptState(lua).processes.ProcessId(CheckText(lua, 1)))) /
                 1e6);
    return 1;
  });
}

// open_descriptors(name): number of open file descriptors of a process
int OpenDescriptors(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    lua_pushinteger(
        lua, static_cast<lua_Integer>(CountDescriptors(
                 ScriptState(lua).processes.ProcessId(CheckText(lua, 1)))));
    return 1;
  });
}

// raw_open(port, unread): number of a new connection, which does not read what
// arrives if `unread` is set
int RawOpen(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    lua_pushinteger(lua,
                    static_cast<lua_Integer>(ScriptState(lua).raw.Open(
                        ReadAddress(lua, 1).port, lua_toboolean(lua, 2) == 0)));
    return 1;
  });
}

std::size_t CheckNumber(lua_State* lua, int index) {
  return static_cast<std::size_t>(luaL_checkinteger(lua, index));
}

// raw_send(number, text, repetitions): queues the text; raw_pump sends it
int RawSend(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    ScriptState(lua).raw.Send(
        CheckNumber(lua, 1), CheckText(lua, 2),
        static_cast<std::size_t>(luaL_optinteger(lua, 3, 1)));
    return 0;
  });
}

// raw_pump(milliseconds): sends and receives on all raw connections
int RawPump(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    ScriptState(lua).raw.Pump(milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
  });
}

// raw_state(number): table of unsent_bytes, received and ended ("", "closed" or
// "reset")
int RawState(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const raw_connection_state state =
        ScriptState(lua).raw.State(CheckNumber(lua, 1));
    PushJson(lua, {{"unsent_bytes", state.unsent_bytes},
                   {"received", state.received},
                   {"ended", state.end}});
    return 1;
  });
}

// raw_close(number)
int RawClose(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    ScriptState(lua).raw.Close(CheckNumber(lua, 1));
    return 0;
  });
}

// http(port, method, path, body, headers): status and body, or nil if there is
// no response
int Http(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    script_state& state = ScriptState(lua);
    try {
      const http_response response =
          state.http->Call(ReadAddress(lua, 1), ReadRequest(lua, 2),
                           state.clock->Now() + kCallTimeout);
      lua_pushinteger(lua, response.status);
      PushText(lua, response.body);
      return 2;
    } catch (const http_error&) {
      lua_pushnil(lua);
      return 1;
    }
  });
}

// open_stream(port, method, path, body, headers): number of the stream
int OpenStream(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const std::size_t number =
        ScriptState(lua).streams.Open(ReadAddress(lua, 1), ReadRequest(lua, 2));
    lua_pushinteger(lua, static_cast<lua_Integer>(number));
    return 1;
  });
}

// resume_stream(number, port, method, path, body, headers)
int ResumeStream(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    ScriptState(lua).streams.Resume(
        static_cast<std::size_t>(luaL_checkinteger(lua, 1)),
        ReadAddress(lua, 2), ReadRequest(lua, 3));
    return 0;
  });
}

// stream(number): state of the stream as a table
int Stream(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const stream_state state = ScriptState(lua).streams.State(
        static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    PushJson(lua, {{"status", state.status},
                   {"tokens", state.texts.size()},
                   {"text",
                    [&] {
                      std::string all;
                      for (const std::string& text : state.texts)
                        all += text;
                      return all;
                    }()},
                   {"last_event_id", state.last_event_id},
                   {"done", state.done},
                   {"ended", state.ended},
                   {"error", state.error},
                   {"error_body", state.error_body}});
    return 1;
  });
}

// json(text): the parsed value, or nil if the text is not JSON
int ParseJson(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    const json value = json::parse(CheckText(lua, 1), nullptr, false);
    if (value.is_discarded())
      return 0;
    PushJson(lua, value);
    return 1;
  });
}

// sleep(milliseconds)
int Sleep(lua_State* lua) {
  std::this_thread::sleep_for(milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

// now(): monotonic time in milliseconds
int Now(lua_State* lua) {
  lua_pushinteger(lua, std::chrono::duration_cast<milliseconds>(
                           ScriptState(lua).clock->Now().time_since_epoch())
                           .count());
  return 1;
}

// key(): a new idempotency key; key(age_ms): a key issued age_ms ago
int NewKey(lua_State* lua) {
  script_state& state = ScriptState(lua);
  const auto issued_at_ms =
      static_cast<std::uint64_t>(
          state.clock->CalendarNow().time_since_epoch().count()) -
      static_cast<std::uint64_t>(luaL_optinteger(lua, 1, 0));
  char text[100];
  std::snprintf(
      text, sizeof text, "%08llx-%04llx-7%03llx-8%03llx-%012llx",
      static_cast<unsigned long long>(issued_at_ms >> 16),
      static_cast<unsigned long long>(issued_at_ms & 0xffff),
      static_cast<unsigned long long>(state.random() & 0xfff),
      static_cast<unsigned long long>(state.random() & 0xfff),
      static_cast<unsigned long long>(state.random() & 0xffffffffffff));
  lua_pushstring(lua, text);
  return 1;
}

// audit(name...): number of audit findings in the logs of these
// processes, and the findings as text
int RunAudit(lua_State* lua) {
  return WithLuaErrors(lua, [&] {
    std::vector<std::string> lines;
    for (int i = 1; i <= lua_gettop(lua); ++i) {
      std::ifstream file(ScriptState(lua).processes.LogPath(CheckText(lua, i)));
      for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    }
    constexpr std::int64_t kGraceMs = 3000;
    const audit_report report = Audit(lines, kGraceMs);
    std::string text;
    for (const audit_finding& finding : report.findings)
      text += std::string(FindingName(finding.kind)) + " " + finding.subject +
              ": " + finding.text + "\n";
    lua_pushinteger(lua, static_cast<lua_Integer>(report.findings.size()));
    PushText(lua, text);
    return 2;
  });
}

void RegisterFunctions(lua_State* lua, script_state& state) {
  const luaL_Reg functions[] = {{"start", Start},
                                {"signal", Signal},
                                {"exit_code", ExitCode},
                                {"peak_memory_mb", PeakMemory},
                                {"resident_memory_mb", ResidentMemory},
                                {"receive_queues_mb", ReceiveQueues},
                                {"open_descriptors", OpenDescriptors},
                                {"raw_open", RawOpen},
                                {"raw_send", RawSend},
                                {"raw_pump", RawPump},
                                {"raw_state", RawState},
                                {"raw_close", RawClose},
                                {"http", Http},
                                {"open_stream", OpenStream},
                                {"resume_stream", ResumeStream},
                                {"stream", Stream},
                                {"json", ParseJson},
                                {"sleep", Sleep},
                                {"now", Now},
                                {"key", NewKey},
                                {"audit", RunAudit}};
  for (const luaL_Reg& function : functions) {
    lua_pushlightuserdata(lua, &state);
    lua_pushcclosure(lua, function.func, 1);
    lua_setglobal(lua, function.name);
  }
}

}  // namespace

std::string RunScenario(const std::string& directory,
                        const std::string& build_directory,
                        const std::string& name,
                        int seed,
                        int first_port) {
  char log_template[] = "/tmp/wist-scenario-XXXXXX";
  const std::string log_directory = mkdtemp(log_template);
  script_state state(log_directory);
  state.random.seed(static_cast<std::uint64_t>(seed));
  lua_State* lua = luaL_newstate();
  luaL_openlibs(lua);
  RegisterFunctions(lua, state);
  lua_pushinteger(lua, first_port);
  lua_setglobal(lua, "first_port");
  lua_pushinteger(lua, seed);
  lua_setglobal(lua, "seed");
  PushText(lua, build_directory);
  lua_setglobal(lua, "build_directory");
  PushText(lua, log_directory);
  lua_setglobal(lua, "log_directory");
  std::string failure;
  const std::string library = directory + "/library.lua";
  const std::string script = directory + "/" + name + ".lua";
  if (luaL_dofile(lua, library.c_str()) != LUA_OK ||
      luaL_dofile(lua, script.c_str()) != LUA_OK)
    failure =
        std::string(lua_tostring(lua, -1)) + " (logs in " + log_directory + ")";
  lua_close(lua);
  return failure;
}

}  // namespace wist::scenarios
