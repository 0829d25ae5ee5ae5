# Every target of the project gets the same warnings and include folder.
function(hibiscus_configure target)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR})
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror
        # Options are named at the call site; the ones left out keep their defaults.
        -Wno-missing-field-initializers)
endfunction()
