// Implements the JSON of the engine's stand-in.
#include "chat_json.h"

#include "radishflow/Emulator/expected_answer.h"
#include "radishflow/Emulator/http_reply.h"

#include <algorithm>
#include <sstream>

namespace radishflow {

using Poco::JSON::Array;
using Poco::JSON::Object;

static constexpr int defaultTokens = 16;
static constexpr int defaultUrgency = 3;
static constexpr int lowestUrgency = 7;

static std::string textOf(const Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

generation_request decodeChat(const std::string& body)
{
    const Object::Ptr chat = parseObject(body);
    generation_request decoded {
        .model = chat->optValue<std::string>("model", ""),
        .tokens = std::max(1, chat->optValue<int>("max_tokens", defaultTokens)),
    };
    const Array::Ptr messages = chat->getArray("messages");
    if (!messages)
        throw Poco::DataFormatException("a chat has no messages");
    for (unsigned index = 0; index < messages->size(); ++index) {
        const Object::Ptr message = messages->getObject(index);
        if (message && message->optValue<std::string>("role", "") == "user")
            decoded.prompt = message->optValue<std::string>("content", "");
    }
    return decoded;
}

bool asksForStream(const std::string& body)
{
    return parseObject(body)->optValue<bool>("stream", false);
}

int urgencyOf(const std::string& priority)
{
    const auto found = priority.find("u=");
    if (found == std::string::npos)
        return defaultUrgency;
    return std::clamp(std::atoi(priority.c_str() + found + 2), 0, lowestUrgency);
}

static Object::Ptr choiceOf(const char* part, const Object::Ptr& content, bool isLast)
{
    Object::Ptr choice = new Object;
    choice->set("index", 0);
    choice->set(part, content);
    choice->set("finish_reason", isLast ? Poco::Dynamic::Var { "length" } : Poco::Dynamic::Var {});
    return choice;
}

static Object answerOf(const generation_request& asked, const char* kind, const Object::Ptr& choice)
{
    Array::Ptr choices = new Array;
    choices->add(choice);
    Object answer;
    answer.set("id", asked.id);
    answer.set("object", kind);
    answer.set("model", asked.model);
    answer.set("choices", choices);
    return answer;
}

std::string chunkText(const generation_request& asked, int index)
{
    Object::Ptr delta = new Object;
    delta->set("content", expectedToken(asked.model, asked.prompt, index));
    return textOf(answerOf(asked, "chat.completion.chunk", choiceOf("delta", delta, index == asked.tokens)));
}

std::string completionText(const generation_request& asked)
{
    Object::Ptr message = new Object;
    message->set("role", "assistant");
    message->set("content", expectedAnswer(asked.model, asked.prompt, asked.tokens));
    Object answer = answerOf(asked, "chat.completion", choiceOf("message", message, true));
    Object::Ptr usage = new Object;
    usage->set("completion_tokens", asked.tokens);
    answer.set("usage", usage);
    return textOf(answer);
}

std::string eventsText(const std::vector<kv_event>& events, std::uint64_t since)
{
    Array::Ptr shown = new Array;
    for (const kv_event& event : events) {
        Object::Ptr entry = new Object;
        entry->set("seq", event.number);
        entry->set("type", event.type);
        entry->set("prefix", event.prefix);
        shown->add(entry);
    }
    Object answer;
    answer.set("events", shown);
    answer.set("next", events.empty() ? since : events.back().number + 1);
    return textOf(answer);
}

std::string exportedBytes(const std::string& prefix)
{
    return "kv cache of " + prefix;
}

Object::Ptr encodeRecord(const engine_record& record)
{
    Object::Ptr requests = new Object;
    for (const auto& [id, count] : record.requests)
        requests->set(id, count);
    Array::Ptr overloads = new Array;
    for (const engine_overload& overload : record.overloads) {
        Object::Ptr entry = new Object;
        entry->set("running", overload.running);
        entry->set("limit", overload.limit);
        entry->set("cold_for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(overload.coldFor).count());
        overloads->add(entry);
    }
    Object::Ptr encoded = new Object;
    encoded->set("requests", requests);
    encoded->set("overloads", record.overloads.size());
    encoded->set("overload_details", overloads);
    encoded->set("crashes", record.crashes);
    encoded->set("completed", record.completed);
    encoded->set("cancelled", record.cancelled);
    encoded->set("resumed", record.resumed);
    encoded->set("prefix_hits", record.hits);
    encoded->set("prefix_misses", record.misses);
    encoded->set("cold_starts", record.coldStarts);
    encoded->set("max_running", record.maxRunning);
    encoded->set("max_running_cold", record.maxRunningCold);
    encoded->set("max_load", record.maxLoad);
    return encoded;
}

Array::Ptr encodeOrders(const std::vector<engine_order>& orders)
{
    Array::Ptr encoded = new Array;
    for (const engine_order& order : orders) {
        Object::Ptr entry = new Object;
        entry->set("order", order.order);
        entry->set("name", order.name);
        entry->set("fence", order.fence);
        entry->set("accepted", order.isAccepted);
        entry->set("stale", order.isStale);
        encoded->add(entry);
    }
    return encoded;
}

} // namespace radishflow
