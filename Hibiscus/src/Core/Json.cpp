#include "Hibiscus/src/Core/Json.h"

#include <vector>

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;

// The callback of nlohmann::json could leave out values as well, but its parser searches all former
// values of a list at the end of each list or object in it, so its time grows with their square.
/** \brief Builds a document of bounded depth and size from the events of a parser. */
class BoundedDocument : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return this->add(nullptr); }
    bool boolean(bool value) override { return this->add(value); }
    bool number_integer(number_integer_t value) override { return this->add(value); }
    bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
    bool number_float(number_float_t value, const string_t &) override { return this->add(value); }
    bool string(string_t &value) override { return this->add(std::move(value)); }
    bool binary(binary_t &) override { return false; }
    bool start_object(std::size_t) override { return this->open(Json::object()); }
    bool end_object() override { return this->close(); }
    bool start_array(std::size_t) override { return this->open(Json::array()); }
    bool end_array() override { return this->close(); }

    bool key(string_t &value) override
    {
        if (!this->isSkipping())
            this->nextKey = std::move(value);
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

    Json take() { return std::move(this->document); }

private:
    bool isSkipping() const
    {
        return this->skippedLevels > 0 || this->levels.size() > maxJsonDepth;
    }

    bool add(Json value)
    {
        if (this->isSkipping())
            return true;
        this->place(std::move(value));
        return ++this->values <= maxJsonValues;
    }

    bool open(Json container)
    {
        if (this->isSkipping()) {
            ++this->skippedLevels;
            return true;
        }
        this->levels.push_back(&this->place(std::move(container)));
        return ++this->values <= maxJsonValues;
    }

    bool close()
    {
        if (this->skippedLevels > 0)
            --this->skippedLevels;
        else
            this->levels.pop_back();
        return true;
    }

    Json &place(Json value)
    {
        if (this->levels.empty())
            return this->document = std::move(value);
        Json &parent = *this->levels.back();
        if (parent.is_object())
            return parent[this->nextKey] = std::move(value);
        parent.push_back(std::move(value));
        return parent.back();
    }

    Json document = Json(Json::value_t::discarded);
    std::vector<Json *> levels; ///< the open lists and objects
    string_t nextKey;
    std::size_t skippedLevels = 0; ///< open lists and objects that are too deep
    std::size_t values = 0;
};

} // namespace internal

nlohmann::json parseJson(const std::string &text)
{
    internal::BoundedDocument document;
    if (!nlohmann::json::sax_parse(text, &document))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return document.take();
}

} // namespace Hibiscus
