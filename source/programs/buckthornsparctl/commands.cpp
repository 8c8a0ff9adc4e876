#include "programs/buckthornsparctl/commands.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <utility>

namespace buckthornspar::ctl {

namespace json = boost::json;
using common::command_line;
using common::command_line_error;

namespace {

std::string random_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device source;
    std::string id = "ctl-";
    for (int i = 0; i < 16; ++i) {
        id.push_back(digits[source() % digits.size()]);
    }
    return id;
}

std::string read_all(std::istream& stream) {
    return {std::istreambuf_iterator<char>(stream), {}};
}

// The path "-" means standard input.
std::string read_file(const std::string& path) {
    if (path == "-") {
        return read_all(std::cin);
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw command_line_error("cannot read " + path);
    }
    return read_all(file);
}

std::int64_t to_number(const std::string& option, const std::string& text) {
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        throw command_line_error("--" + option + " must be an integer, not '" + text + "'");
    }
    return number;
}

// The server, which knows the limits, checks the range of the value.
std::int64_t number(const command_line& line, const std::string& option,
                    std::string_view fallback) {
    return to_number(option, line.get(option, fallback));
}

std::string required_option(const command_line& line, const std::string& option) {
    if (!line.has(option)) {
        throw command_line_error("--" + option + " is required");
    }
    return line.get(option);
}

// Returns the operand after the command; `what` describes it in the error message.
std::string operand(const command_line& line, const std::string& what) {
    if (line.operands().size() != 2) {
        throw command_line_error(line.operands().front() + " needs exactly one " + what);
    }
    return line.operands()[1];
}

void reject_operand(const command_line& line) {
    if (line.operands().size() > 1) {
        throw command_line_error("unexpected operand '" + line.operands()[1] + "'");
    }
}

net::http_request json_request(std::string target, std::string body) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = std::move(target);
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

net::http_request get_request(std::string target) {
    net::http_request request;
    request.target = std::move(target);
    return request;
}

std::string job_path(const command_line& line) {
    return "/v1/jobs/" + net::percent_encode(operand(line, "job id"));
}

json::object job_from_options(const command_line& line, const std::string& id) {
    json::object job{{"id", id},
                     {"team", required_option(line, "team")},
                     {"kind", line.get("kind", "batch")},
                     {"class", line.get("class", "normal")},
                     {"idempotent", !line.has("non-idempotent")},
                     {"tasks", number(line, "tasks", "1")},
                     {"demand", json::object{{"cpu_milli", number(line, "cpu-milli", "1000")},
                                             {"memory_mb", number(line, "memory-mb", "256")},
                                             {"accelerators", number(line, "accelerators", "0")}}}};
    for (const auto* const name : {"run-ms", "deadline-ms"}) {
        if (line.has(name)) {
            job[name == std::string_view("run-ms") ? "run_ms" : "deadline_ms"] =
                number(line, name, "0");
        }
    }
    if (line.has("family")) {
        job["family"] = line.get("family");
    }
    return job;
}

ctl_call submit(const command_line& line) {
    reject_operand(line);
    ctl_call call;
    if (line.has("file")) {
        call.request = json_request("/v1/jobs", read_file(line.get("file")));
    } else {
        call.id = line.get("id", random_id());
        call.request = json_request("/v1/jobs", json::serialize(job_from_options(line, call.id)));
    }
    if (line.has("repeat")) {
        call.request.fields.set("X-Repeat", "true");
    }
    return call;
}

ctl_call cancel(const command_line& line) {
    net::http_request request = get_request(job_path(line));
    request.method = net::http_method::del;
    return {std::move(request), line.operands()[1]};
}

ctl_call status(const command_line& line) {
    return {get_request(job_path(line)), ""};
}

ctl_call explain(const command_line& line) {
    return {get_request(job_path(line) + "/explain"), ""};
}

ctl_call service_request(const command_line& line) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = "/v1/requests/" + net::percent_encode(operand(line, "service"));
    const std::string id = line.get("id", random_id());
    request.fields.set("X-Request-Id", id);
    request.fields.set("X-Idempotent", line.has("non-idempotent") ? "false" : "true");
    constexpr std::array<std::pair<const char*, const char*>, 3> fields{
        {{"deadline-ms", "X-Deadline-Ms"}, {"class", "X-Class"}, {"caller", "X-Caller"}}};
    for (const auto& [option, field] : fields) {
        if (line.has(option)) {
            request.fields.set(field, line.get(option));
        }
    }
    if (line.has("repeat")) {
        request.fields.set("X-Repeat", "true");
    }
    request.body = line.has("file") ? read_file(line.get("file")) : line.get("body");
    return {std::move(request), id};
}

// A value that is not valid JSON is used as a string, so that names need no quotes.
json::value to_value(const std::string& text) {
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    return failure ? json::value(text) : value;
}

json::array changes_from_options(const command_line& line) {
    json::array changes;
    for (const std::string& assignment : line.get_all("set")) {
        const auto equals = assignment.find('=');
        if (equals == std::string::npos) {
            throw command_line_error("--set needs PATH=VALUE, not '" + assignment + "'");
        }
        changes.push_back(json::object{{"op", "set"},
                                       {"path", assignment.substr(0, equals)},
                                       {"value", to_value(assignment.substr(equals + 1))}});
    }
    for (const std::string& path : line.get_all("remove")) {
        changes.push_back(json::object{{"op", "remove"}, {"path", path}});
    }
    if (changes.empty()) {
        throw command_line_error("patch needs --set, --remove, --undo or --file");
    }
    return changes;
}

json::object patch_from_options(const command_line& line, const std::string& id) {
    json::object body{{"id", id},
                      {"author", required_option(line, "author")},
                      {"base_version", to_number("base", required_option(line, "base"))}};
    if (line.has("undo")) {
        body["undo"] = number(line, "undo", "");
    } else {
        body["changes"] = changes_from_options(line);
    }
    return body;
}

json::object patch_from_file(const command_line& line) {
    boost::system::error_code failure;
    json::value body = json::parse(read_file(line.get("file")), failure);
    if (failure || !body.is_object()) {
        throw command_line_error("--file must be a JSON object");
    }
    return std::move(body.get_object());
}

ctl_call patch(const command_line& line) {
    reject_operand(line);
    const std::string id = line.has("file") ? "" : line.get("id", random_id());
    json::object body = line.has("file") ? patch_from_file(line) : patch_from_options(line, id);
    if (line.has("dry-run")) {
        body["dry_run"] = true;
    }
    return {json_request("/v1/config/patches", json::serialize(body)), id};
}

ctl_call versions(const command_line& line) {
    if (line.has("in-force")) {
        reject_operand(line);
        return {get_request("/v1/config/in-force"), ""};
    }
    if (line.operands().size() == 1) {
        return {get_request("/v1/config/versions"), ""};
    }
    const auto version = to_number("version", operand(line, "version"));
    return {get_request("/v1/config/versions/" + std::to_string(version)), ""};
}

ctl_call drain(const command_line& line) {
    reject_operand(line);
    return {json_request("/v1/drain", "{}"), ""};
}

struct command {
    std::string_view name;
    std::string_view operand;
    std::string_view summary;
    ctl_call (*make)(const command_line&);
};

constexpr std::array<command, 8> commands{{
    {"submit", "", "submit a job, from --file or from options", &submit},
    {"cancel", " ID", "cancel a job", &cancel},
    {"status", " ID", "show the state and the outcomes of a job", &status},
    {"explain", " ID", "show why a job waits or was refused", &explain},
    {"request", " SERVICE", "send a request to a service", &service_request},
    {"patch", "", "change the configuration, from --file or --set and --remove", &patch},
    {"versions", " [N]", "show the history, version N, or with --in-force the current version",
     &versions},
    {"drain", "", "let a server finish its work and take no more", &drain},
}};

} // namespace

std::vector<common::option_spec> options() {
    return {
        {"server", 's', "ADDRESS:PORT[,...]",
         "entry or config process; the next one is tried "
         "when one cannot be reached"},
        {"json", 'j', "", "print answers as JSON"},
        {"timeout-ms", 't', "N", "longest wait for the answer (default 10000)"},
        {"file", 'f', "FILE", "body of submit, request or patch; - for standard input"},
        {"id", '\0', "ID", "id of the job, request or patch; the same id again is not a new one"},
        {"team", '\0', "TEAM", "submit: team whose quota is used"},
        {"kind", '\0', "KIND", "submit: service, batch or all_at_once"},
        {"class", '\0', "CLASS", "submit, request: urgent, normal or bulk"},
        {"tasks", '\0', "N", "submit: number of tasks (default 1)"},
        {"cpu-milli", '\0', "N", "submit: thousandths of a processor for each task"},
        {"memory-mb", '\0', "N", "submit: memory for each task"},
        {"accelerators", '\0', "N", "submit: accelerators for each task"},
        {"run-ms", '\0', "N", "submit: expected run time"},
        {"family", '\0', "NAME", "submit: family of jobs with similar usage"},
        {"deadline-ms", '\0', "N", "submit, request: time until the work is no longer wanted"},
        {"non-idempotent", '\0', "", "submit, request: run at most once"},
        {"caller", '\0', "NAME", "request: whose limits apply"},
        {"repeat", '\0', "", "submit, request: this id may have been sent before"},
        {"body", '\0', "TEXT", "request: body"},
        {"author", '\0', "NAME", "patch: who makes the change"},
        {"base", '\0', "N", "patch: version that the patch was made against"},
        {"set", '\0', "PATH=VALUE",
         "patch: set a field, for example quotas/vision to a JSON value; "
         "may be repeated"},
        {"remove", '\0', "PATH", "patch: remove a field; may be repeated"},
        {"undo", '\0', "N", "patch: revert the changes of version N"},
        {"dry-run", '\0', "", "patch: only check it"},
        {"in-force", '\0', "", "versions: show the version in force"},
        {"version", 'V', "", "print the version and exit"},
        {"help", 'h', "", "print this help and exit"},
    };
}

std::string usage() {
    std::string text = "--server ADDRESS:PORT COMMAND [OPTIONS]\n\nCommands:\n";
    for (const command& c : commands) {
        std::string line = "  " + std::string(c.name) + std::string(c.operand);
        line.resize(std::max<std::size_t>(line.size() + 1, 20), ' ');
        text += line + std::string(c.summary) + "\n";
    }
    text +=
        "  trace ID FILE...   show from logs (- for standard input) what became of a job and why\n";
    text += "\nExit codes:\n"
            "  0  done\n"
            "  1  refused by the server, or the service answered with an error\n"
            "  2  the command line cannot be used\n"
            "  4  no server answered; nothing was changed\n"
            "  5  the outcome is unknown: repeat with the same --id\n"
            "  6  request: it did not run\n";
    return text;
}

ctl_call make_call(const command_line& line) {
    if (line.operands().empty()) {
        throw command_line_error("no command; see --help");
    }
    for (const command& c : commands) {
        if (c.name == line.operands().front()) {
            return c.make(line);
        }
    }
    throw command_line_error("unknown command '" + line.operands().front() + "'; see --help");
}

} // namespace buckthornspar::ctl
