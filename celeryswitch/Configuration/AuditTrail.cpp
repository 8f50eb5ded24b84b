#include "celeryswitch/Configuration/AuditTrail.h"

#include <array>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace celeryswitch::Configuration {

using Core::Error;
using Core::Result;
namespace json = boost::json;

namespace {

constexpr std::string_view hashField = ",\"hash\":\"";
constexpr std::size_t hashDigits = 64;

// SHA-256 of a text as hexadecimal digits.
std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (unsigned position = 0; position < length; ++position) {
        result += digits[digest[position] >> 4];
        result += digits[digest[position] & 15];
    }
    return result;
}

// The part of a JSON text that the hash covers: everything before the field "hash".
std::string_view hashedPart(std::string_view record)
{
    const std::size_t tail = hashField.size() + hashDigits + 2;
    return record.size() > tail ? record.substr(0, record.size() - tail) : std::string_view();
}

}

void AuditTrail::append(const AuditEntry& entry)
{
    json::object record {
        { "index", ++this->newestIndex },
        { "time", entry.time },
        { "changeId", entry.changeId },
        { "author", entry.author },
        { "reason", entry.reason },
        { "fromVersion", entry.fromVersion },
        { "toVersion", entry.toVersion },
        { "outcome", entry.outcome },
        { "detail", entry.detail },
        { "before", entry.before.empty() ? json::value(nullptr) : json::parse(entry.before) },
        { "after", entry.after.empty() ? json::value(nullptr) : json::parse(entry.after) },
        { "previousHash", this->newestHash },
    };
    std::string text = json::serialize(record);
    text.pop_back();
    this->newestHash = sha256(text);
    text += std::string(hashField) + this->newestHash + "\"}";
    this->kept.push_back(std::move(text));
    if (this->kept.size() > retainedRecords)
        this->kept.pop_front();
}

std::vector<std::string> AuditTrail::records(std::uint64_t fromIndex, std::size_t limit) const
{
    const std::uint64_t firstKept = this->newestIndex - this->kept.size() + 1;
    const std::uint64_t first = std::max(fromIndex, firstKept);
    std::vector<std::string> result;
    for (std::uint64_t index = first; index <= this->newestIndex && result.size() < limit; ++index)
        result.push_back(this->kept[index - firstKept]);
    return result;
}

Result<void> AuditTrail::verify(const std::vector<std::string>& records)
{
    std::string previousHash;
    std::int64_t previousIndex = 0;
    std::size_t line = 0;
    for (const std::string& text : records) {
        const std::string place = "record at line " + std::to_string(++line);
        boost::system::error_code error;
        const json::value parsed = json::parse(text, error);
        const json::object* record = error ? nullptr : parsed.if_object();
        const json::value* hash = record ? record->if_contains("hash") : nullptr;
        const json::value* before = record ? record->if_contains("previousHash") : nullptr;
        const json::value* index = record ? record->if_contains("index") : nullptr;
        if (!hash || !hash->is_string() || !before || !before->is_string() || !index || !index->is_int64())
            return Error(AuditError::Malformed, place + " is not an audit record");
        if (sha256(hashedPart(text)) != std::string_view(hash->get_string()))
            return Error(AuditError::Altered, place + " does not match its hash");
        const bool isFirst = line == 1;
        if (isFirst ? index->get_int64() == 1 && !before->get_string().empty()
                    : index->get_int64() != previousIndex + 1 || std::string_view(before->get_string()) != previousHash)
            return Error(AuditError::Missing,
                place + " (index " + std::to_string(index->get_int64()) + ") does not follow the record before it");
        previousHash = std::string(hash->get_string());
        previousIndex = index->get_int64();
    }
    return Core::success();
}

}
