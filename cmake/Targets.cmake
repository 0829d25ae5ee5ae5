# Sets the warnings and the include folder, which are the same for every target of the project.
function(hibiscus_configure target)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR})
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror
        # Designated initializers omit the options that keep their default values.
        -Wno-missing-field-initializers)
endfunction()
